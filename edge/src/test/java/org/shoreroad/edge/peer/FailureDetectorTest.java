package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FailureDetectorTest {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final String BOX = "i-1";

  private long nowNanos;
  private final FailureDetector failureDetector = new FailureDetector(() -> nowNanos);

  private static Heartbeat from(String peer, Map<String, String> asked, Set<String> silent) {
    return Heartbeats.of(peer).withQuestions(asked, silent);
  }

  private void askPeersFor(int millis) {
    for (int i = 0; i <= millis; i += 100) {
      failureDetector.askPeers(BOX, "h:1");
      nowNanos += 100 * MILLI_NANOS;
    }
  }

  @Test
  void boxThatAnswersOnePeerIsNotDead() {
    askPeersFor(2_000);
    failureDetector.applyHeartbeat(from("p1", Map.of(), Set.of(BOX)));
    failureDetector.applyHeartbeat(from("p2", Map.of(), Set.of()));
    assertThat(failureDetector.isSilentForAll(BOX, Set.of("p1", "p2")), is(false));
  }

  @Test
  void boxThatAnswersNoPeerIsDead() {
    askPeersFor(2_000);
    failureDetector.applyHeartbeat(from("p1", Map.of(), Set.of(BOX)));
    failureDetector.applyHeartbeat(from("p2", Map.of(), Set.of(BOX)));
    assertThat(failureDetector.isSilentForAll(BOX, Set.of("p1", "p2")), is(true));
    failureDetector.applyHeartbeat(from("p2", Map.of(), Set.of()));
    assertThat(failureDetector.isSilentForAll(BOX, Set.of("p1", "p2")), is(false));
  }

  @Test
  void boxIsNotDeadBeforePeersHadTimeToTryIt() {
    askPeersFor(500);
    failureDetector.applyHeartbeat(from("p1", Map.of(), Set.of(BOX)));
    assertThat(failureDetector.isSilentForAll(BOX, Set.of("p1")), is(false));
  }

  @Test
  void questionExpiresIfItIsNotRepeated() {
    askPeersFor(100);
    assertThat(failureDetector.questions(), is(Map.of(BOX, "h:1")));
    nowNanos += 2_000 * MILLI_NANOS;
    assertThat(failureDetector.questions(), is(Map.of()));
  }

  @Test
  void questionsOfPeersExpire() {
    failureDetector.applyHeartbeat(from("p1", Map.of("i-9", "h:9"), Set.of()));
    assertThat(failureDetector.askedByPeers(), is(Map.of("i-9", "h:9")));
    nowNanos += 2_000 * MILLI_NANOS;
    assertThat(failureDetector.askedByPeers(), is(Map.of()));
  }
}
