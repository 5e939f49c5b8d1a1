package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.matchesPattern;
import static org.hamcrest.Matchers.not;

import org.junit.jupiter.api.Test;

/** Tests the log line of an answer that ends before it is complete. */
class AnswerCutLogTest extends LoopbackRelay {
  @Test
  void hasTheDataThatTheCutWasBasedOn() throws Exception {
    upstream("i-1", BREAKS_OFF_MIDWAY);
    assertThat(call("/stream/"), not(containsString("0\r\n\r\n")));
    String line =
        logged().lines().filter(text -> text.contains("\"answer_cut\"")).findFirst().orElse("");
    assertThat(line, containsString("\"lastEvent\":1"));
    assertThat(line, containsString("\"ends\":\"[i-1:DISCONNECTED]\""));
    assertThat(line, containsString("\"admittedVersion\":1"));
    assertThat(line, containsString("\"isStopping\":false"));
    assertThat(line, matchesPattern(".*\"leftMs\":-?[0-9]+,.*"));
    assertThat(line, matchesPattern(".*\"silentMs\":[0-9]+,.*"));
  }
}
