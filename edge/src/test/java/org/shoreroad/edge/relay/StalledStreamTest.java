package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests a stream whose head is silent for longer than its passes take. */
class StalledStreamTest extends LoopbackRelay {
  private static final int SILENCE_MS = 1_000;

  /** Sends an event, then nothing for a while, then the last event and the end. */
  private static final FakeUpstream.Script PAUSES =
      (head, out, socket) -> {
        write(out, STREAM_HEAD);
        writeChunk(out, FIRST_EVENT);
        Thread.sleep(SILENCE_MS);
        writeChunk(out, "id: 2\ndata: b\n\n");
        write(out, "0\r\n\r\n");
        return true;
      };

  @Override
  RelayRules rules() {
    return new RelayRules(0, 0, 10);
  }

  @Test
  void staysAtItsUpstreamIfNoRepeatIsAllowed() throws Exception {
    FakeUpstream one = upstream(HEAD_PREFIX + "1", PAUSES);
    FakeUpstream two = upstream(HEAD_PREFIX + "2", PAUSES);
    String answer = call("/llm/");
    assertThat(answer, containsString("id: 2\ndata: b\n\n"));
    assertThat(answer, endsWith("0\r\n\r\n"));
    assertThat(one.requestHeads().size() + two.requestHeads().size(), is(1));
  }
}
