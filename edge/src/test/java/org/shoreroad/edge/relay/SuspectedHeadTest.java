package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** A head that a peer suspects while a request of this process waits for its first event. */
class SuspectedHeadTest extends LoopbackRelay {
  /** The limit of this process's own suspicion is longer than the request's deadline. */
  private static final int SLOW_STEP_MS = 2_000;

  private final AtomicInteger arrivals = new AtomicInteger();
  private final CountDownLatch arrived = new CountDownLatch(1);

  /** The first request never gets an answer, the second one gets it at once. */
  private final FakeUpstream.Script firstIsSilent =
      (head, out, socket) -> {
        if (arrivals.incrementAndGet() == 1) {
          arrived.countDown();
          return true;
        }
        write(
            out,
            "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: yes\n\n\r\n0\r\n\r\n");
        return true;
      };

  @Override
  int stepMs() {
    return SLOW_STEP_MS;
  }

  @Test
  void itsWaitingRequestIsMovedAtOnce() throws Exception {
    FakeUpstream one = upstream(HEAD_PREFIX + "1", firstIsSilent);
    FakeUpstream two = upstream(HEAD_PREFIX + "2", firstIsSilent);
    CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> callUnchecked("/llm/"));
    arrived.await();
    String silent = HEAD_PREFIX + (one.heads().isEmpty() ? "2" : "1");
    loop.submit(() -> stalls().suspectByPeer(Set.of(silent))).sync();
    assertThat(answer.get(), containsString("data: yes"));
    assertThat(one.heads().size() + two.heads().size(), is(2));
  }

  private String callUnchecked(String path) {
    try {
      return call(path);
    } catch (java.io.IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
