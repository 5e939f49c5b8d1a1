package org.shoreroad.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.Incarnation;

class FleetLimitsTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final Incarnation UPSTREAM = new Incarnation("i-1", 7);
  private static final RequestLimit ONE = new RequestLimit(1);
  private static final RequestLimit THREE = new RequestLimit(3);

  private final FleetLimits limits = singleProcess("p");

  private static FleetLimits singleProcess(String name) {
    FleetLimits limits = new FleetLimits(name);
    limits.setSharers(Set.of(name), 0);
    return limits;
  }

  private static Set<String> names(int count) {
    return IntStream.range(0, count).mapToObj(i -> "p" + i).collect(Collectors.toSet());
  }

  /** Returns the number of processes that hold a share of the limit. */
  private static int holders(int processes, RequestLimit limit) {
    int holders = 0;
    for (String name : names(processes)) {
      FleetLimits process = new FleetLimits(name);
      process.setSharers(names(processes), 0);
      process.recordAnswer(UPSTREAM, limit, 0, SECOND);
      holders += process.hasTurn(UPSTREAM, 1_000 * SECOND) ? 1 : 0;
    }
    return holders;
  }

  @Test
  void anUpstreamWithoutALimitAlwaysHasATurn() {
    assertThat(limits.isEmpty(), is(true));
    assertThat(limits.takeTurn(UPSTREAM, 0), is(true));
    assertThat(limits.takeTurn(UPSTREAM, 0), is(true));
  }

  @Test
  void turnsComeAtTheRateOfTheLimit() {
    assertThat(limits.recordAnswer(UPSTREAM, ONE, 0, SECOND), is(LimitChange.BEGUN));
    int sent = 0;
    for (long now = SECOND; now < 101 * SECOND; now += SECOND / 50) {
      sent += limits.takeTurn(UPSTREAM, now) ? 1 : 0;
    }
    assertThat(sent, is(100));
  }

  @Test
  void aboutAsManyProcessesHoldSharesAsRequestsPerSecond() {
    assertThat(holders(8, ONE), is(1));
    assertThat(holders(58, THREE), is(3));
    assertThat(holders(4, new RequestLimit(50)), is(4));
    assertThat(holders(8, new RequestLimit(0)), is(1));
  }

  @Test
  void aProcessWithoutSharersHoldsNoShare() {
    FleetLimits member = new FleetLimits("p");
    member.recordAnswer(UPSTREAM, ONE, 0, SECOND);
    assertThat(member.hasTurn(UPSTREAM, 1_000 * SECOND), is(false));
  }

  @Test
  void theOnlyProcessLeftTakesOverTheWholeLimit() {
    String other = names(8).stream().filter(name -> !isHolder(name)).findAny().orElseThrow();
    FleetLimits last = new FleetLimits(other);
    last.setSharers(names(8), 0);
    last.recordAnswer(UPSTREAM, ONE, 0, SECOND);
    assertThat(last.hasTurn(UPSTREAM, 9 * SECOND), is(false));
    last.setSharers(Set.of(other), 9 * SECOND);
    assertThat(
        "immediately after the former holder", last.hasTurn(UPSTREAM, 9 * SECOND), is(false));
    assertThat(last.hasTurn(UPSTREAM, 10 * SECOND), is(true));
  }

  private static boolean isHolder(String name) {
    FleetLimits process = new FleetLimits(name);
    process.setSharers(names(8), 0);
    process.recordAnswer(UPSTREAM, ONE, 0, SECOND);
    return process.hasTurn(UPSTREAM, 1_000 * SECOND);
  }

  @Test
  void aReportOfAnotherProcessIsApplied() {
    limits.recordAnswer(UPSTREAM, ONE, 0, SECOND);
    FleetLimits other = singleProcess("q");
    List<LimitReport> reports = limits.reports(SECOND);
    assertThat(reports, is(List.of(new LimitReport(UPSTREAM, ONE, 0))));
    assertThat(other.applyReport(reports.get(0), 2 * SECOND), is(LimitChange.BEGUN));
    assertThat(other.isLimited(UPSTREAM), is(true));
    assertThat(
        "reported again", other.applyReport(reports.get(0), 2 * SECOND), is(LimitChange.NONE));
  }

  @Test
  void theNewestStatementCounts() {
    limits.recordAnswer(UPSTREAM, THREE, 0, 9 * SECOND);
    LimitReport older = new LimitReport(UPSTREAM, ONE, 5_000);
    LimitReport newer = new LimitReport(UPSTREAM, ONE, 500);
    assertThat(limits.applyReport(older, 10 * SECOND), is(LimitChange.NONE));
    assertThat(limits.applyReport(newer, 10 * SECOND), is(LimitChange.CHANGED));
  }

  /** An answer without a limit may have been in flight when another answer stated one. */
  @Test
  void onlyAnAnswerToALaterRequestEndsALimit() {
    limits.recordAnswer(UPSTREAM, ONE, 0, 5 * SECOND);
    assertThat(limits.recordAnswer(UPSTREAM, null, 4 * SECOND, 6 * SECOND), is(LimitChange.NONE));
    assertThat(limits.recordAnswer(UPSTREAM, null, 6 * SECOND, 7 * SECOND), is(LimitChange.ENDED));
    assertThat(limits.takeTurn(UPSTREAM, 7 * SECOND), is(true));
    assertThat(limits.limitedCount(), is(0));
  }

  @Test
  void anEndIsReportedToOthersAndALimitMayBeginAgain() {
    FleetLimits other = singleProcess("q");
    limits.recordAnswer(UPSTREAM, ONE, 0, 5 * SECOND);
    limits.reports(5 * SECOND).forEach(report -> other.applyReport(report, 5 * SECOND));
    limits.recordAnswer(UPSTREAM, null, 6 * SECOND, 7 * SECOND);
    List<LimitReport> reports = limits.reports(7 * SECOND);
    assertThat(other.applyReport(reports.get(0), 7 * SECOND), is(LimitChange.ENDED));
    assertThat(limits.recordAnswer(UPSTREAM, ONE, 7 * SECOND, 8 * SECOND), is(LimitChange.BEGUN));
  }

  @Test
  void theEndOfAnUnknownLimitIsIgnored() {
    assertThat(limits.applyReport(new LimitReport(UPSTREAM, null, 0), 0), is(LimitChange.NONE));
    assertThat(limits.recordAnswer(UPSTREAM, null, 0, 1), is(LimitChange.NONE));
    assertThat(limits.isEmpty(), is(true));
  }

  @Test
  void theLimitOfAFormerIncarnationDoesNotApplyToTheNextOne() {
    limits.recordAnswer(UPSTREAM, ONE, 0, SECOND);
    assertThat(limits.isLimited(new Incarnation("i-1", 8)), is(false));
  }

  @Test
  void aKnownLimitIsReportedAgainAtAnInterval() {
    limits.recordAnswer(UPSTREAM, ONE, 0, SECOND);
    limits.reports(SECOND);
    assertThat("soon after the change", limits.reports(SECOND + SECOND / 5), hasSize(1));
    assertThat(limits.reports(2 * SECOND + SECOND / 2), hasSize(0));
    assertThat(limits.reports(3 * SECOND + SECOND / 2), hasSize(1));
  }

  @Test
  void aHeartbeatHoldsABoundedNumberOfLimitsAndTheNextOneTheRest() {
    for (int i = 0; i < 100; i++) {
      limits.recordAnswer(new Incarnation("i-" + i, 1), ONE, 0, SECOND);
    }
    List<LimitReport> first = limits.reports(SECOND);
    List<LimitReport> second = limits.reports(SECOND + SECOND / 5);
    assertThat(first.size(), lessThan(100));
    Set<Incarnation> reported =
        first.stream().map(LimitReport::upstream).collect(Collectors.toSet());
    second.forEach(report -> reported.add(report.upstream()));
    assertThat(reported.size(), is(100));
  }

  @Test
  void aLimitThatIsNotStatedAgainIsDropped() {
    limits.recordAnswer(UPSTREAM, ONE, 0, SECOND);
    long later = SECOND + TimeUnit.MILLISECONDS.toNanos(FleetLimits.KEEP_MS) + 1;
    assertThat(limits.reports(later), hasSize(0));
    assertThat(limits.isEmpty(), is(true));
    LimitReport old = new LimitReport(UPSTREAM, ONE, Long.MAX_VALUE);
    assertThat(limits.applyReport(old, later), is(LimitChange.NONE));
  }
}
