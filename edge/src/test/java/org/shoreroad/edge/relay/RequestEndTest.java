package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Tests that each request that was received completely is counted with exactly one end. */
class RequestEndTest extends LoopbackRelay {
  private static final FakeUpstream.Script NEVER_ANSWERS =
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
  void aTimeoutIsCounted() throws Exception {
    upstream("i-1", NEVER_ANSWERS);
    assertThat(call("/once/"), startsWith("HTTP/1.1 504"));
    assertThat(endedCount(RequestEnd.TIMED_OUT), is(1L));
  }

  @Test
  void aCutAnswerIsCounted() throws Exception {
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
          return NEVER_ANSWERS.answer(head, out, socket);
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
