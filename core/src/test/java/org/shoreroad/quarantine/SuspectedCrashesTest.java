package org.shoreroad.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.Incarnation;

class SuspectedCrashesTest {
  private static final RequestFingerprint REQUEST = new RequestFingerprint(1, 2);
  private static final Incarnation UPSTREAM = new Incarnation("i-1", 7);
  private static final Incarnation OTHER = new Incarnation("i-2", 7);
  private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long TEN_SECONDS_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final SuspectedCrashes suspicions = new SuspectedCrashes();

  private static CrashSuspicion suspicion(Incarnation upstream, CrashSuspicion.Kind kind) {
    return new CrashSuspicion(REQUEST, Set.of(), new Crash(upstream, true), kind);
  }

  private static CrashSuspicion brokenOff(Incarnation upstream) {
    return suspicion(upstream, CrashSuspicion.Kind.BROKEN_OFF);
  }

  @Test
  void requestsOfAnEndedUpstreamAreTakenOnce() {
    CrashSuspicion expected = brokenOff(UPSTREAM);
    assertThat(suspicions.add(expected, 0), is(false));
    suspicions.add(brokenOff(OTHER), 0);
    assertThat(suspicions.takeEnded(UPSTREAM, 1), is(List.of(expected)));
    assertThat(suspicions.takeEnded(UPSTREAM, 1), empty());
    assertThat(suspicions.isSuspected(OTHER), is(true));
  }

  @Test
  void requestThatFailsSoonAfterTheEndOfItsUpstreamHasCrashedIt() {
    suspicions.takeEnded(UPSTREAM, 0);
    assertThat(suspicions.add(brokenOff(UPSTREAM), MAX_AGE_NANOS), is(true));
    assertThat(suspicions.add(brokenOff(UPSTREAM), TEN_SECONDS_NANOS), is(false));
  }

  @Test
  void onlyRecentBrokenOffRequestsAreUndecided() {
    suspicions.add(brokenOff(UPSTREAM), 0);
    suspicions.add(suspicion(OTHER, CrashSuspicion.Kind.FAILED), 0);
    assertThat(suspicions.undecided(REQUEST, MAX_AGE_NANOS, 1), is(Set.of(UPSTREAM)));
    assertThat(suspicions.undecided(REQUEST, MAX_AGE_NANOS, MAX_AGE_NANOS), is(Set.of()));
  }

  @Test
  void requestOfAnUpstreamThatRunsIsDecidedButCountsIfItEndsLater() {
    suspicions.add(brokenOff(UPSTREAM), 5);
    assertThat(suspicions.dismiss(UPSTREAM, 5), is(0));
    assertThat(suspicions.isUndecided(UPSTREAM), is(true));
    assertThat(suspicions.dismiss(UPSTREAM, 6), is(1));
    assertThat(suspicions.isUndecided(UPSTREAM), is(false));
    assertThat(suspicions.undecided(REQUEST, MAX_AGE_NANOS, 6), is(Set.of()));
    assertThat(suspicions.takeEnded(UPSTREAM, 7).size(), is(1));
  }

  /** Else sound requests that got a failure would explain the crashes of the one to blame. */
  @Test
  void requestThatWasAnsweredBeforeItsUpstreamEndedHadNotJustBegun() {
    CrashSuspicion answered = suspicion(UPSTREAM, CrashSuspicion.Kind.FAILED);
    assertThat(answered.crash().hadJustBegun(), is(false));
    assertThat(brokenOff(UPSTREAM).crash().hadJustBegun(), is(true));
  }

  /** Else lookups that many callers send alike, some of which fail, count as crashes. */
  @Test
  void answeredRequestsCountOnlyIfTheirUpstreamEndsRightAfterTheAnswer() {
    long soonNanos = TimeUnit.MILLISECONDS.toNanos(200);
    suspicions.add(suspicion(UPSTREAM, CrashSuspicion.Kind.FAILED), 0);
    suspicions.add(suspicion(OTHER, CrashSuspicion.Kind.UNFRAMED), 0);
    assertThat(suspicions.takeEnded(UPSTREAM, soonNanos).size(), is(1));
    assertThat(suspicions.takeEnded(OTHER, 2 * soonNanos), empty());
    assertThat(suspicions.add(suspicion(OTHER, CrashSuspicion.Kind.FAILED), soonNanos), is(false));
  }

  @Test
  void requestsOfAnUpstreamWithAPlannedEndAreForgotten() {
    suspicions.add(brokenOff(UPSTREAM), 0);
    suspicions.forget(UPSTREAM);
    assertThat(suspicions.takeEnded(UPSTREAM, 0), empty());
    assertThat(suspicions.isEmpty(), is(true));
  }

  @Test
  void oldSuspicionsAreRemoved() {
    suspicions.add(brokenOff(UPSTREAM), 0);
    suspicions.removeExpired(TEN_SECONDS_NANOS);
    assertThat(suspicions.isEmpty(), is(true));
  }

  @Test
  void theNumberOfSuspicionsIsBounded() {
    for (int i = 0; i < 2 * SuspectedCrashes.MAX_SUSPICIONS; i++) {
      RequestFingerprint request = new RequestFingerprint(i, 0);
      Crash crash = new Crash(new Incarnation("i-" + i % 7, 7), true);
      suspicions.add(
          new CrashSuspicion(request, Set.of(), crash, CrashSuspicion.Kind.BROKEN_OFF), 0);
    }
    int count = 0;
    for (int i = 0; i < 7; i++) {
      count += suspicions.takeEnded(new Incarnation("i-" + i, 7), 0).size();
    }
    assertThat(count, is(SuspectedCrashes.MAX_SUSPICIONS));
  }
}
