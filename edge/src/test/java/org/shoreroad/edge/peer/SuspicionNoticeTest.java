package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessagePackException;
import org.shoreroad.edge.sync.ListUpdate;

class SuspicionNoticeTest {
  private final SuspicionNotice notice =
      new SuspicionNotice("node-1~a", Heartbeat.Scope.HUB, Set.of("i-1", "i-2"));

  @Test
  void parseReadsWhatToBytesWrites() throws Exception {
    assertThat(SuspicionNotice.isNotice(notice.toBytes()), is(true));
    assertThat(SuspicionNotice.parse(notice.toBytes()), is(notice));
  }

  @Test
  void heartbeatIsNotTakenForANotice() {
    byte[] bytes =
        HeartbeatCodec.toBytes(Heartbeats.of("node-1~a").withListUpdate(ListUpdate.NONE));
    assertThat(SuspicionNotice.isNotice(bytes), is(false));
    assertThat(SuspicionNotice.isNotice(new byte[0]), is(false));
  }

  @Test
  void truncatedNoticeIsRejected() {
    byte[] bytes = notice.toBytes();
    byte[] truncated = java.util.Arrays.copyOf(bytes, bytes.length - 1);
    assertThrows(MessagePackException.class, () -> SuspicionNotice.parse(truncated));
  }
}
