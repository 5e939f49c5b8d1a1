package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class EventSplitterTest {
  private final EventSplitter splitter = new EventSplitter();
  private final List<String> events = new ArrayList<>();
  private final List<Long> ids = new ArrayList<>();

  private boolean add(String text) {
    ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
    boolean isAccepted = splitter.add(bytes, this::record);
    bytes.release();
    return isAccepted;
  }

  private void record(ByteBuf event, long id) {
    events.add(event.toString(StandardCharsets.UTF_8));
    ids.add(id);
    event.release();
  }

  @Test
  void eventsAreSplitAtBlankLines() {
    add("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n");
    assertThat(events, contains("id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n"));
    assertThat(ids, contains(1L, 2L));
    assertThat(splitter.hasPartialEvent(), is(true));
  }

  @Test
  void anEventInPiecesIsForwardedOnceItIsComplete() {
    add("versions: 3\nid: 4\nda");
    add("ta: x\n");
    assertThat(events.isEmpty(), is(true));
    add("\n");
    assertThat(ids, contains(4L));
    assertThat(splitter.hasPartialEvent(), is(false));
  }

  @Test
  void anIdThatIsNotANumberIsIgnored() {
    add("id: x\ndata: 1\n\ndata: 2\n\n");
    assertThat(ids, contains(-1L, -1L));
  }

  /** Such a name is one that receivers ignore; the event is passed on unchanged. */
  @Test
  void aFieldWithAControlByteInItsNameIsNoId() {
    String event = "\0id: 1\ni\u0001d: 2\nid\0: 3\nid : 4\ndata: a\n\n";
    add(event);
    assertThat(events, contains(event));
    assertThat(ids, contains(-1L));
  }

  @Test
  void anIdWithAControlByteIsNotANumber() {
    add("id: 1\0\n\nid:\u0001 2\n\nid: 3\u001f\r\n\r\nid:\u000b4\n\n");
    assertThat(ids, contains(-1L, -1L, -1L, -1L));
  }

  @Test
  void theFirstIdFieldOfAnEventIsUsed() {
    add("data: id: 9\nid:5\r\nid: 6\n\n");
    add("id\ndata: a\n\n");
    add(": id: 3\nid:  12 \ndata: b\n\n");
    assertThat(ids, contains(5L, -1L, 12L));
  }

  @Test
  void anySplitOfTheBytesGivesTheSameEvents() {
    StringBuilder stream = new StringBuilder();
    for (int i = 1; i <= 40; i++) {
      stream.append("id: ").append(i).append("\ndata: ").append("x".repeat(i)).append("\n\n");
    }
    for (int seed = 0; seed < 50; seed++) {
      ids.clear();
      Random random = new Random(seed);
      String rest = stream.toString();
      while (!rest.isEmpty()) {
        int length = Math.min(rest.length(), 1 + random.nextInt(60));
        add(rest.substring(0, length));
        rest = rest.substring(length);
      }
      assertThat(ids.size(), is(40));
      assertThat(ids.get(39), is(40L));
    }
  }

  @Test
  void aStreamWithoutAnyEndOfEventIsRefused() {
    boolean isAccepted = true;
    for (int i = 0; i < 30 && isAccepted; i++) {
      isAccepted = add("x".repeat(50_000));
    }
    assertThat(isAccepted, is(false));
  }

  @Test
  void aCompleteEventAboveTheMaximumIsRefused() {
    boolean isAccepted = add("data: 1\n\ndata: " + "x".repeat(1_048_576) + "\n\n");
    assertThat(isAccepted, is(false));
    assertThat(events, contains("data: 1\n\n"));
  }

  @Test
  void anEventThatIsCompletedAboveTheMaximumIsRefused() {
    assertThat(add("data: " + "x".repeat(1_048_000)), is(true));
    assertThat(add("x".repeat(1_000) + "\n\n"), is(false));
    assertThat(events.isEmpty(), is(true));
  }

  @Test
  void nothingIsHeldOfAnEventAboveTheMaximum() {
    assertThat(add("x".repeat(1_048_577)), is(false));
    assertThat(splitter.hasPartialEvent(), is(false));
  }
}
