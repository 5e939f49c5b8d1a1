package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.member.HubPlan.ProcessLocation;

class PeerTableTest {
  private final EventLog log = new EventLog("t", System::nanoTime, OutputStream.nullOutputStream());
  private final PeerTable table =
      new PeerTable(
          new EmbeddedChannel().eventLoop(),
          System::nanoTime,
          log,
          new ProcessLocation("box-0~0", "z"),
          new PeerChannels(log, heartbeat -> {}, notice -> {}));

  private void add(String name, long era, long offset) {
    table.add(new ProcessLocation(name, "z"), "127.0.0.1:1", StorePosition.of(era, offset));
  }

  @Test
  void anotherIncarnationOfThisNodeIsIgnored() {
    add("box-0~9", 1, 9);
    assertThat(table.names(), is(Set.of()));
  }

  @Test
  void earlierAnnouncementInTheSameEraIsIgnored() {
    add("box-1~b", 1, 9);
    add("box-1~a", 1, 4);
    assertThat(table.names(), is(Set.of("box-1~b")));
    assertThat(table.findSender("box-1~a"), is(nullValue()));
  }

  @Test
  void incarnationOfUnknownOrderReplacesTheKnownOneOnceItSends() {
    add("box-1~a", 1, 9);
    add("box-1~b", 2, 4);
    assertThat(table.names(), is(Set.of("box-1~a")));
    assertThat(table.findSender("box-1~b"), is(notNullValue()));
    assertThat(table.names(), is(Set.of("box-1~b")));
  }

  @Test
  void removedProcessIsUnknown() {
    add("box-1~a", 1, 9);
    table.remove("box-1~a");
    assertThat(table.find("box-1~a"), is(nullValue()));
  }
}
