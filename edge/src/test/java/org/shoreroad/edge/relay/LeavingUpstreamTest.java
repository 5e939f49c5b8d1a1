package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Upstreams that say in their answers that they are about to end. */
class LeavingUpstreamTest extends LoopbackRelay {
  private static final int CALLS = 20;

  /** A process that was told sends nothing from this time on. */
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
  void anUpstreamThatSaysItLeavesGetsNothingMore() throws Exception {
    FakeUpstream leaving = upstream("i-1", LEAVING);
    upstream("i-2", SERVING);
    int before = beginLeaving(leaving);
    callOften();
    assertThat(leaving.requestHeads().size(), is(before));
  }

  /** Its entry may be written anew before the list tells of the leaving. */
  @Test
  void anEntryThatDoesNotTellOfTheLeavingDoesNotTakeItBack() throws Exception {
    FakeUpstream leaving = upstream("i-1", LEAVING);
    FakeUpstream serving = upstream("i-2", SERVING);
    int before = beginLeaving(leaving);
    list("i-1", leaving);
    list("i-2", serving);
    callOften();
    assertThat(leaving.requestHeads().size(), is(before));
  }

  @Test
  void anotherValueIsNoLeaving() throws Exception {
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
