package org.shoreroad.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.Incarnation;

class CrashQuarantineTest {
  private static final RequestFingerprint REQUEST = new RequestFingerprint(1, 2);
  private static final RequestFingerprint OTHER = new RequestFingerprint(3, 3);
  private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(CrashQuarantine.SETTLE_MS);
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long LATER_NANOS = 5 * SECOND_NANOS;

  private final CrashQuarantine quarantine = new CrashQuarantine();

  private static Crash running(String id) {
    return new Crash(new Incarnation(id, 7), true);
  }

  private static Crash waiting(String id) {
    return new Crash(new Incarnation(id, 7), false);
  }

  private static void crash(CrashQuarantine at, int count, long nowNanos) {
    for (int i = 0; i < count; i++) {
      at.recordCrash(REQUEST, running("i-" + i), nowNanos);
    }
  }

  @Test
  void threeCrashesOfUpstreamsThatRanTheRequestQuarantineIt() {
    assertThat(quarantine.recordCrash(REQUEST, running("i-1"), 0), empty());
    assertThat(quarantine.recordCrash(REQUEST, running("i-2"), 0), empty());
    assertThat(quarantine.recordCrash(REQUEST, running("i-3"), 0), is(Set.of(REQUEST)));
    assertThat(quarantine.isQuarantined(REQUEST, LATER_NANOS), is(true));
    assertThat(quarantine.isQuarantined(new RequestFingerprint(1, 3), LATER_NANOS), is(false));
  }

  @Test
  void threeCrashesBeforeTheAnswersQuarantineARequestOnceTheyHaveSettled() {
    for (int i = 0; i < 3; i++) {
      assertThat(quarantine.recordCrash(REQUEST, waiting("i-" + i), 0), empty());
    }
    assertThat(quarantine.update(SETTLE_NANOS - 1), empty());
    assertThat(quarantine.isUndecided(REQUEST, Set.of(), SETTLE_NANOS - 1), is(true));
    assertThat(quarantine.update(SETTLE_NANOS), is(Set.of(REQUEST)));
    assertThat(quarantine.isUndecided(REQUEST, Set.of(), SETTLE_NANOS), is(false));
  }

  @Test
  void aRequestThatWaitedBehindTheOneThatCrashesUpstreamsIsNotQuarantined() {
    for (int i = 0; i < 6; i++) {
      quarantine.recordCrash(OTHER, waiting("i-" + i), 0);
      quarantine.recordCrash(REQUEST, running("i-" + i), 0);
    }
    quarantine.update(SETTLE_NANOS);
    assertThat(quarantine.isQuarantined(REQUEST, SETTLE_NANOS), is(true));
    assertThat(quarantine.isQuarantined(OTHER, SETTLE_NANOS), is(false));
  }

  /** Else harmless requests are refused until the other processes report theirs. */
  @Test
  void aRequestWithOneWaitingCrashIsDecidedOnceAllHaveSettled() {
    quarantine.recordCrash(REQUEST, waiting("i-1"), 0);
    quarantine.recordCrash(REQUEST, running("i-2"), LATER_NANOS);
    assertThat(quarantine.recordCrash(REQUEST, running("i-3"), LATER_NANOS), empty());
    assertThat(quarantine.isUndecided(REQUEST, Set.of(), LATER_NANOS), is(true));
    assertThat(quarantine.update(LATER_NANOS + SETTLE_NANOS), is(Set.of(REQUEST)));
  }

  @Test
  void aLateReportOfTheRequestThatCrashesUpstreamsReleasesThoseThatWaited() {
    for (int i = 0; i < 3; i++) {
      quarantine.recordCrash(OTHER, waiting("i-" + i), 0);
    }
    quarantine.update(SETTLE_NANOS);
    assertThat(quarantine.isQuarantined(OTHER, SETTLE_NANOS), is(true));
    crash(quarantine, 3, SETTLE_NANOS);
    assertThat(quarantine.isQuarantined(OTHER, SETTLE_NANOS), is(false));
  }

  @Test
  void aRequestIsUndecidedWhileItsUpstreamsMayHaveEnded() {
    crash(quarantine, 2, 0);
    Set<Incarnation> suspected = Set.of(new Incarnation("j-1", 7));
    assertThat(quarantine.isUndecided(REQUEST, suspected, 0), is(true));
    assertThat(quarantine.isUndecided(REQUEST, Set.of(), 0), is(false));
    assertThat(quarantine.isUndecided(OTHER, suspected, 0), is(false));
  }

  @Test
  void manyCrashesOfOneIncarnationCountOnce() {
    for (int i = 0; i < 9; i++) {
      quarantine.recordCrash(REQUEST, running("i-1"), 0);
    }
    assertThat(quarantine.isQuarantined(REQUEST, 0), is(false));
  }

  @Test
  void eachIncarnationOfAnUpstreamCounts() {
    for (int bornMs = 1; bornMs <= 3; bornMs++) {
      quarantine.recordCrash(REQUEST, new Crash(new Incarnation("i-1", bornMs), true), 0);
    }
    assertThat(quarantine.isQuarantined(REQUEST, 0), is(true));
  }

  @Test
  void aCompleteAnswerRefutesOnlyTheCrashesBeforeIt() {
    crash(quarantine, 2, 0);
    quarantine.recordAnswer(REQUEST, 0);
    assertThat(quarantine.recordCrash(REQUEST, running("j-1"), 0), empty());
    assertThat(quarantine.recordCrash(REQUEST, running("j-2"), 0), empty());
    assertThat(quarantine.recordCrash(REQUEST, running("j-3"), 0), is(Set.of(REQUEST)));
  }

  @Test
  void crashesOfSeveralProcessesAddUpInAnyOrder() {
    CrashQuarantine other = new CrashQuarantine();
    quarantine.recordCrash(REQUEST, running("i-1"), 0);
    other.recordCrash(REQUEST, running("i-2"), 0);
    other.recordCrash(REQUEST, running("i-1"), 0);
    quarantine.applyReports(other.reports(0), 0);
    other.applyReports(quarantine.reports(0), 0);
    assertThat(other.isQuarantined(REQUEST, 0), is(false));
    quarantine.recordCrash(REQUEST, running("i-3"), 0);
    assertThat(other.applyReports(quarantine.reports(0), 0), is(Set.of(REQUEST)));
    assertThat(other.applyReports(quarantine.reports(0), 0), is(Set.of()));
    assertThat(other.isQuarantined(REQUEST, 0), is(true));
  }

  @Test
  void aReportOfAPeerThatMissedARefutationDoesNotUndoIt() {
    CrashQuarantine other = new CrashQuarantine();
    crash(quarantine, 2, 0);
    other.applyReports(quarantine.reports(0), 0);
    quarantine.recordAnswer(REQUEST, 0);
    quarantine.applyReports(other.reports(0), 0);
    quarantine.recordCrash(REQUEST, running("j-1"), 0);
    assertThat(quarantine.isQuarantined(REQUEST, 0), is(false));
    other.applyReports(quarantine.reports(0), 0);
    assertThat(other.recordCrash(REQUEST, running("j-2"), 0), empty());
  }

  @Test
  void aProcessThatStartsLaterGetsTheQuarantinedRequestsAndTheOtherCrashes() {
    crash(quarantine, 3, 0);
    quarantine.recordCrash(OTHER, running("i-1"), 0);
    quarantine.recordCrash(OTHER, running("i-2"), 0);
    CrashQuarantine started = new CrashQuarantine();
    started.applyReports(quarantine.reports(LATER_NANOS), 0);
    assertThat(started.isQuarantined(REQUEST, 0), is(true));
    assertThat(started.recordCrash(OTHER, running("i-3"), 0), is(Set.of(OTHER)));
  }

  @Test
  void crashesOfRequestsWithoutQuarantineAreRepeatedInRotationOnceASecond() {
    int count = 20;
    for (int i = 0; i < count; i++) {
      quarantine.recordCrash(new RequestFingerprint(i, 0), running("i-1"), 0);
    }
    CrashQuarantine started = new CrashQuarantine();
    for (long nanos = LATER_NANOS; nanos < LATER_NANOS + 3 * SECOND_NANOS; nanos += 200_000_000) {
      started.applyReports(quarantine.reports(nanos), nanos);
    }
    for (int i = 0; i < count; i++) {
      assertThat(started.report(new RequestFingerprint(i, 0), LATER_NANOS).isPresent(), is(true));
    }
    assertThat(quarantine.reports(LATER_NANOS + 2 * SECOND_NANOS + 1), empty());
  }

  @Test
  void allQuarantinedRequestsAreReportedInRotation() {
    int count = 100;
    for (int i = 0; i < count; i++) {
      for (int j = 0; j < 3; j++) {
        quarantine.recordCrash(new RequestFingerprint(i, 0), running("i-" + j), 0);
      }
    }
    CrashQuarantine started = new CrashQuarantine();
    for (int i = 0; i < 4; i++) {
      List<CrashReport> reports = quarantine.reports(LATER_NANOS);
      assertThat(reports.size(), lessThanOrEqualTo(48));
      started.applyReports(reports, 0);
    }
    assertThat(started.quarantinedCount(0), is(count));
  }

  @Test
  void requestsWithTheMostCrashesAreReportedFirst() {
    for (int i = 0; i < 100; i++) {
      quarantine.recordCrash(new RequestFingerprint(i, 0), waiting("i-1"), 0);
    }
    crash(quarantine, 2, 0);
    assertThat(
        quarantine.reports(0).stream().map(CrashReport::fingerprint).toList(), hasItem(REQUEST));
  }

  @Test
  void aQuarantineLastsWhileTheRequestIsSentAndThenEndsAtAllProcesses() {
    CrashQuarantine other = new CrashQuarantine();
    crash(quarantine, 3, 0);
    long nineMinutes = TimeUnit.MINUTES.toNanos(9);
    assertThat(quarantine.recordArrival(REQUEST, nineMinutes), is(true));
    other.applyReports(quarantine.reports(nineMinutes + SECOND_NANOS), nineMinutes + SECOND_NANOS);
    long eighteenMinutes = 2 * nineMinutes;
    assertThat(quarantine.isQuarantined(REQUEST, eighteenMinutes), is(true));
    assertThat(other.isQuarantined(REQUEST, eighteenMinutes), is(true));
    long end = nineMinutes + CrashQuarantine.KEEP_NANOS;
    assertThat(quarantine.isQuarantined(REQUEST, end), is(false));
    assertThat(other.isQuarantined(REQUEST, end), is(false));
    assertThat(other.reports(end), empty());
    assertThat(other.isEmpty(), is(true));
  }

  @Test
  void anExpiredReportIsIgnored() {
    crash(quarantine, 3, 0);
    CrashReport report = quarantine.reports(0).get(0);
    long keepMs = TimeUnit.NANOSECONDS.toMillis(CrashQuarantine.KEEP_NANOS);
    CrashQuarantine other = new CrashQuarantine();
    other.applyReports(
        List.of(new CrashReport(REQUEST, report.crashes(), report.refuted(), keepMs)), 0);
    assertThat(other.isEmpty(), is(true));
  }

  @Test
  void theNumberOfHistoriesIsBoundedAndQuarantinedOnesAreKept() {
    crash(quarantine, 3, 0);
    for (int i = 0; i < 2 * CrashQuarantine.MAX_REQUESTS; i++) {
      quarantine.recordCrash(new RequestFingerprint(9, i), running("i-1"), SECOND_NANOS);
    }
    assertThat(quarantine.isQuarantined(REQUEST, SECOND_NANOS), is(true));
    assertThat(quarantine.quarantinedCount(SECOND_NANOS), is(1));
  }
}
