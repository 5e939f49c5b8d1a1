package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests a stream whose first upstream closes the connection after an event. */
class ResumedStreamTest extends LoopbackRelay {
  private final AtomicInteger calls = new AtomicInteger();

  private void assertCut(String secondAnswer) throws Exception {
    FakeUpstream.Script firstBreaksOff =
        (head, out, socket) -> {
          if (calls.getAndIncrement() == 0) {
            return BREAKS_OFF_MIDWAY.answer(head, out, socket);
          }
          write(out, secondAnswer);
          return true;
        };
    upstream("i-1", firstBreaksOff);
    upstream("i-2", firstBreaksOff);
    String answer = callKeepingAlive("/stream/");
    assertThat(calls.get(), is(2));
    assertThat(answer, endsWith(FIRST_EVENT + "\r\n"));
    assertThat(logged(), containsString("\"answer_cut\""));
  }

  @Test
  void aFailureOfTheNextUpstreamIsNotWrittenIntoTheAnswer() throws Exception {
    assertCut("HTTP/1.1 500 X\r\nX-Attempt: a1\r\nX-Seal: t\r\nContent-Length: 4\r\n\r\nfail");
  }

  @Test
  void aRejectionByTheNextUpstreamIsNotWrittenIntoTheAnswer() throws Exception {
    assertCut("HTTP/1.1 404 X\r\nX-Attempt: a1\r\nX-Seal: t\r\nContent-Length: 4\r\n\r\nnone");
  }
}
