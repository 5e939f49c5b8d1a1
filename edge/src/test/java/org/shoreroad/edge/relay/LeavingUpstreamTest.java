package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** An upstream whose answer announces its shutdown must get no more requests. */
class LeavingUpstreamTest extends LoopbackRelay {
  private static final int CALLS = 20;

  /** Time after the announcement from which on a process sends the upstream nothing. */
  private static final int DRAIN_MS = 2_000;

  private static final FakeUpstream.Script LEAVING =
      (head, out, socket) -> {
        write(out, wholeAnswer(head, "served").replace("X-Seal", "X-Leaving: 1\r\nX-Seal"));
        return true;
      };

  /** Calls until the upstream has had a request, and returns how many it has had 2 s later. */
  private int beginLeaving(FakeUpstream upstream) throws Exception {
    while (upstream.requestHeads().isEmpty()) {
      call("/again/x");
    }
    advanceClock(DRAIN_MS);
    return upstream.requestHeads().size();
  }

  private void callOften() throws Exception {
    for (int i = 0; i < CALLS; i++) {
      call("/again/x");
    }
  }

  @Test
  void anUpstreamThatAnnouncesItsShutdownGetsNoMoreRequests() throws Exception {
    FakeUpstream leaving = upstream("i-1", LEAVING);
    upstream("i-2", SERVING);
    int before = beginLeaving(leaving);
    callOften();
    assertThat(leaving.requestHeads().size(), is(before));
  }

  /** The list entry may be written again before the list marks the upstream as leaving. */
  @Test
  void aListEntryWithoutTheLeavingMarkDoesNotRevokeTheAnnouncement() throws Exception {
    FakeUpstream leaving = upstream("i-1", LEAVING);
    FakeUpstream serving = upstream("i-2", SERVING);
    int before = beginLeaving(leaving);
    list("i-1", leaving);
    list("i-2", serving);
    callOften();
    assertThat(leaving.requestHeads().size(), is(before));
  }

  @Test
  void anotherHeaderValueIsNoAnnouncement() throws Exception {
    FakeUpstream staying =
        upstream(
            "i-1",
            (head, out, socket) -> {
              write(out, wholeAnswer(head, "served").replace("X-Seal", "X-Leaving: 0\r\nX-Seal"));
              return true;
            });
    callOften();
    assertThat(staying.requestHeads().size(), is(CALLS));
  }
}
