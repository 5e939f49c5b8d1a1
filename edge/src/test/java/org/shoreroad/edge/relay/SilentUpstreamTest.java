package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/**
 * Tests requests whose upstream is silent for a while, so that they are sent to a second one as
 * well. If the second one refuses, fails or is silent too, the answer of the first one is still
 * forwarded.
 */
class SilentUpstreamTest extends LoopbackRelay {
  private static final int SILENCE_MS = 800;

  private final AtomicInteger calls = new AtomicInteger();

  /** Starts two heads; the one that is called first runs the first script, the other the next. */
  private void upstreams(FakeUpstream.Script first, FakeUpstream.Script next) throws Exception {
    FakeUpstream.Script inOrder =
        (head, out, socket) ->
            (calls.getAndIncrement() == 0 ? first : next).answer(head, out, socket);
    upstream(HEAD_PREFIX + "1", inOrder);
    upstream(HEAD_PREFIX + "2", inOrder);
  }

  private static final FakeUpstream.Script PAUSES_MIDWAY =
      (head, out, socket) -> {
        write(out, STREAM_HEAD);
        writeChunk(out, FIRST_EVENT);
        Thread.sleep(SILENCE_MS);
        writeChunk(out, "id: 2\ndata: b\n\n");
        write(out, "0\r\n\r\n");
        return true;
      };

  private static final FakeUpstream.Script PAUSES_BEFORE =
      (head, out, socket) -> {
        Thread.sleep(SILENCE_MS);
        write(out, STREAM_HEAD);
        writeChunk(out, FIRST_EVENT);
        writeChunk(out, "id: 2\ndata: b\n\n");
        write(out, "0\r\n\r\n");
        return true;
      };

  private static final FakeUpstream.Script IS_FULL =
      (head, out, socket) -> {
        write(out, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
      };

  private static final FakeUpstream.Script BREAKS_OFF = (head, out, socket) -> false;

  private static final FakeUpstream.Script IS_SILENT =
      (head, out, socket) -> {
        Thread.sleep(READ_TIMEOUT_MS);
        return false;
      };

  private void assertWhole(String answer) {
    assertThat(calls.get(), is(2));
    assertThat(answer, containsString(FIRST_EVENT));
    assertThat(answer, containsString("id: 2\ndata: b\n\n"));
    assertThat(answer, endsWith("0\r\n\r\n"));
  }

  @Test
  void anAnswerThatHasBegunIsNotCutBecauseTheNextUpstreamIsFull() throws Exception {
    upstreams(PAUSES_MIDWAY, IS_FULL);
    assertWhole(call("/llm/"));
  }

  @Test
  void anAnswerThatHasBegunIsNotCutBecauseTheNextUpstreamBreaksOff() throws Exception {
    upstreams(PAUSES_MIDWAY, BREAKS_OFF);
    assertWhole(call("/llm/"));
  }

  @Test
  void anAnswerThatHasBegunIsNotCutBecauseTheNextUpstreamIsSilentToo() throws Exception {
    upstreams(PAUSES_MIDWAY, IS_SILENT);
    assertWhole(call("/llm/"));
  }

  @Test
  void aRequestDoesNotFailBecauseTheNextUpstreamIsFull() throws Exception {
    upstreams(PAUSES_BEFORE, IS_FULL);
    assertWhole(call("/llm/"));
  }

  @Test
  void aRequestDoesNotFailBecauseTheNextUpstreamBreaksOff() throws Exception {
    upstreams(PAUSES_BEFORE, BREAKS_OFF);
    assertWhole(call("/llm/"));
  }

  @Test
  void theSilentUpstreamIsCancelledOnceTheNextOneAnswers() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    upstreams(
        (head, out, socket) -> {
          write(out, STREAM_HEAD);
          writeChunk(out, "id: 1\ndata: a\n\nid: 2\nda");
          awaitClose(socket, closed);
          return false;
        },
        (head, out, socket) -> {
          assertThat(FakeUpstream.header(head, "Last-Event-Id"), is("1"));
          write(out, STREAM_HEAD);
          writeChunk(out, "id: 2\ndata: b\n\n");
          write(out, "0\r\n\r\n");
          return true;
        });
    assertWhole(call("/llm/"));
    assertThat(closed.await(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
  }

  @Test
  void bothUpstreamsAreCancelledAtTheDeadline() throws Exception {
    CountDownLatch closed = new CountDownLatch(2);
    FakeUpstream.Script silent =
        (head, out, socket) -> {
          awaitClose(socket, closed);
          return false;
        };
    upstreams(silent, silent);
    assertThat(call("/llm/"), startsWith("HTTP/1.1 504"));
    assertThat(closed.await(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
  }

  private static void awaitClose(Socket socket, CountDownLatch closed) throws IOException {
    if (socket.getInputStream().read() < 0) {
      closed.countDown();
    }
  }
}
