package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Each request that was read whole has one end, and each end its counter. */
class RequestEndTest extends LoopbackRelay {
  private static final FakeUpstream.Script NEVER =
      (head, out, socket) -> {
        Thread.sleep(READ_TIMEOUT_MS);
        return false;
      };

  @Test
  void aWholeAnswerIsCounted() throws Exception {
    upstream("i-1", SERVING);
    call("/once/");
    assertThat(endedCount(RequestEnd.ANSWERED), is(1L));
  }

  @Test
  void aRefusalIsCounted() throws Exception {
    call("/once/");
    call("/nowhere/");
    assertThat(endedCount(RequestEnd.REFUSED), is(2L));
  }

  @Test
  void aFailureOfTheUpstreamIsCounted() throws Exception {
    upstream("i-1", (head, out, socket) -> false);
    assertThat(call("/once/"), startsWith("HTTP/1.1 502"));
    assertThat(endedCount(RequestEnd.FAILED), is(1L));
  }

  @Test
  void theEndOfTheTimeIsCounted() throws Exception {
    upstream("i-1", NEVER);
    assertThat(call("/once/"), startsWith("HTTP/1.1 504"));
    assertThat(endedCount(RequestEnd.TIMED_OUT), is(1L));
  }

  @Test
  void anAnswerThatBreaksOffIsCounted() throws Exception {
    upstream("i-1", BREAKS_OFF_MIDWAY);
    upstream("i-2", BREAKS_OFF_MIDWAY);
    call("/stream/");
    assertThat(endedCount(RequestEnd.CUT), is(1L));
  }

  @Test
  void theEndOfTheProcessIsCountedAndLogged() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    upstream(
        "i-1",
        (head, out, socket) -> {
          arrived.countDown();
          return NEVER.answer(head, out, socket);
        });
    Thread caller = new Thread(this::callAndForget);
    caller.start();
    arrived.await();
    loop.submit(relay::endAll).sync();
    assertThat(endedCount(RequestEnd.PROCESS_ENDED), is(1L));
    assertThat(logged(), containsString("\"request_unanswered\""));
    caller.interrupt();
  }

  private void callAndForget() {
    try {
      call("/once/");
    } catch (IOException e) {
      // The relay ends without an answer.
    }
  }
}
