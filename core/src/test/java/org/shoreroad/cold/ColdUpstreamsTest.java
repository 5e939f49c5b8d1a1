package org.shoreroad.cold;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.traffic.ColdStart;

class ColdUpstreamsTest {
  private static final Incarnation UPSTREAM = new Incarnation("i-1", 5);
  private static final ColdStart RATE = new ColdStart(3, 4);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long START = 100 * SECOND;
  private static final long RAMP_SECONDS = 3;

  private final ColdUpstreams cold = new ColdUpstreams("p");

  ColdUpstreamsTest() {
    cold.setSharers(Set.of("p"), START);
  }

  /** Returns the number of requests that are sent in a time if there are always more. */
  private int sentWithin(long fromNanos, long nanos) {
    int sent = 0;
    for (long now = fromNanos; now < fromNanos + nanos; now += MILLI) {
      if (cold.takeTurn(UPSTREAM, now) && cold.confirmSend(UPSTREAM, now)) {
        sent++;
      }
    }
    return sent;
  }

  @Test
  void anUpstreamWithoutEvidenceIsNotLimited() {
    assertThat(cold.recordStatement(UPSTREAM, RATE, 0, START), is(false));
    assertThat(cold.isEmpty(), is(true));
    assertThat(cold.takeTurn(UPSTREAM, START), is(true));
    assertThat(cold.confirmSend(UPSTREAM, START), is(true));
    assertThat(cold.grantsPerSecond(UPSTREAM, START), is(Double.POSITIVE_INFINITY));
  }

  @Test
  void aColdUpstreamGetsItsRateAfterAPause() {
    assertThat(cold.recordStatement(UPSTREAM, RATE, 10_000, START), is(true));
    assertThat(cold.recordStatement(UPSTREAM, RATE, 10_000, START), is(false));
    assertThat(sentWithin(START, SECOND), is(0));
    assertThat(sentWithin(START + 2 * SECOND, SECOND), is(4));
    assertThat(sentWithin(START + 3 * SECOND, 5 * SECOND), is(19));
  }

  @Test
  void theRateDoublesInStepsAfterTheColdness() {
    cold.recordStatement(UPSTREAM, RATE, 2_000, START);
    long warm = START + 2 * SECOND;
    sentWithin(START, 2 * SECOND);
    assertThat(cold.isCold(UPSTREAM, warm), is(false));
    assertThat(cold.isLimited(UPSTREAM, warm), is(true));
    int first = sentWithin(warm, SECOND);
    int second = sentWithin(warm + SECOND, SECOND);
    assertThat("at most double: " + first, first <= 8 && first > 4, is(true));
    assertThat("at most four times: " + second, second <= 16 && second > 8, is(true));
    assertThat(cold.isLimited(UPSTREAM, warm + RAMP_SECONDS * SECOND), is(false));
    cold.removeWarm(warm + RAMP_SECONDS * SECOND);
    assertThat(cold.isEmpty(), is(true));
  }

  @Test
  void theLongestTimeOfAllEvidenceCounts() {
    cold.recordStatement(UPSTREAM, RATE, 1_000, START);
    cold.applyReport(UPSTREAM, RATE, 5_000, START);
    cold.applyReport(UPSTREAM, RATE, 2_000, START);
    assertThat(cold.isCold(UPSTREAM, START + 5 * SECOND - 1), is(true));
    assertThat(cold.isCold(UPSTREAM, START + 5 * SECOND), is(false));
  }

  @Test
  void aStatementEndsAnAssumptionUnlessItMayBeOlder() {
    cold.assume(UPSTREAM, RATE, 0, START);
    cold.recordStatement(UPSTREAM, RATE, 0, START + MILLI);
    assertThat(cold.isCold(UPSTREAM, START + 2 * MILLI), is(false));
    cold.assume(UPSTREAM, RATE, 2_000, START);
    cold.recordStatement(UPSTREAM, RATE, 0, START + SECOND);
    assertThat(cold.isCold(UPSTREAM, START + SECOND), is(true));
    cold.recordStatement(UPSTREAM, RATE, 0, START + 2 * SECOND);
    assertThat(cold.isCold(UPSTREAM, START + 2 * SECOND), is(false));
  }

  @Test
  void onlyStatementsAreReported() {
    cold.assume(UPSTREAM, RATE, 0, START);
    cold.applyReport(new Incarnation("i-2", 1), RATE, 900, START);
    assertThat(cold.statedRemainingMs(START), is(anEmptyMap()));
    cold.recordStatement(UPSTREAM, RATE, 700, START);
    assertThat(cold.statedRemainingMs(START + 200 * MILLI), is(Map.of(UPSTREAM, 500)));
    assertThat(cold.statedRemainingMs(START + 700 * MILLI), is(anEmptyMap()));
  }

  @Test
  void aProcessThatDoesNotKnowTheOthersSendsNothing() {
    cold.setSharers(Set.of(), START);
    cold.recordStatement(UPSTREAM, RATE, 10_000, START);
    assertThat(sentWithin(START, 5 * SECOND), is(0));
    cold.setSharers(Set.of("p"), START + 5 * SECOND);
    assertThat(sentWithin(START + 5 * SECOND, SECOND), is(0));
    assertThat(sentWithin(START + 7 * SECOND, SECOND), is(4));
  }

  @Test
  void anotherIncarnationIsNotLimited() {
    cold.recordStatement(UPSTREAM, RATE, 10_000, START);
    assertThat(cold.isCold(new Incarnation("i-1", 6), START), is(false));
  }

  @Test
  void aHeadIsAsColdAsItsColdestMember() {
    assertThat(cold.coverMembers(UPSTREAM, RATE, START, START), is(false));
    assertThat(cold.coverMembers(UPSTREAM, RATE, START + SECOND, START), is(true));
    assertThat(cold.ownUntilNanos(UPSTREAM) < START, is(true));
    assertThat(cold.isCold(UPSTREAM, START + SECOND - 1), is(true));
    assertThat(cold.isCold(UPSTREAM, START + SECOND), is(false));
  }

  @Test
  void grantsAndSharesDivideTheRate() {
    cold.setGranted(upstream -> true, START);
    cold.recordStatement(UPSTREAM, RATE, 10_000, START);
    assertThat(cold.grantsPerSecond(UPSTREAM, START + SECOND), is(2.0));
    assertThat(sentWithin(START + 2 * SECOND, SECOND), is(2));
  }

  @Test
  void grantsPauseWhenAnUpstreamTurnsCold() {
    cold.setGranted(upstream -> true, START);
    assertThat(cold.permitsGranted(UPSTREAM, START), is(true));
    cold.recordStatement(UPSTREAM, RATE, 10_000, START);
    assertThat(cold.permitsGranted(UPSTREAM, START + SECOND - 1), is(false));
    assertThat(cold.grantsPerSecond(UPSTREAM, START + SECOND - 1), is(0.0));
    assertThat(cold.permitsGranted(UPSTREAM, START + SECOND), is(true));
    cold.setSharers(Set.of("p", "q"), START + 2 * SECOND);
    cold.applyReport(UPSTREAM, RATE, 12_000, START + 2 * SECOND);
    assertThat("still cold", cold.permitsGranted(UPSTREAM, START + 2 * SECOND), is(true));
    assertThat("warm", cold.permitsGranted(UPSTREAM, START + 14 * SECOND), is(true));
  }

  @Test
  void extremeValuesAreBounded() {
    cold.recordStatement(UPSTREAM, new ColdStart(0, 1e6), Long.MAX_VALUE, START);
    long end = START + TimeUnit.MILLISECONDS.toNanos(ColdUpstreams.MAX_REMAINING_MS);
    assertThat(cold.isCold(UPSTREAM, end - 1), is(true));
    assertThat(cold.isCold(UPSTREAM, end), is(false));
    assertThat(sentWithin(START + 2 * SECOND, SECOND), is(1_000));
    assertThat(cold.assume(new Incarnation("i-2", 1), new ColdStart(0, 1), 0, START), is(false));
  }
}
