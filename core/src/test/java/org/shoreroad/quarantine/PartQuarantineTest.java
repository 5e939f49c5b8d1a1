package org.shoreroad.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.Incarnation;

class PartQuarantineTest {
  private static final long SETTLED_NANOS =
      TimeUnit.MILLISECONDS.toNanos(PartQuarantine.DEFAULT_SETTLE_MS);

  private final PartQuarantine quarantine = new PartQuarantine();
  private long nowNanos = 5;
  private int upstreams;
  private int requests;

  private static Set<PromptPart> parts(String... ids) {
    return PromptPart.allOf("pool", "large", Arrays.asList(ids));
  }

  private Incarnation newUpstream() {
    return new Incarnation("i-" + upstreams++, 1);
  }

  private void passMs(int millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
  }

  private void crash(PartQuarantine at, Incarnation upstream, String... ids) {
    at.recordCrash(parts(ids), upstream, requests++, nowNanos);
  }

  /** Plays crashes of different upstreams 300 ms apart, each under one request. */
  private void crashes(int count, String... ids) {
    for (int i = 0; i < count; i++) {
      crash(quarantine, newUpstream(), ids);
      passMs(300);
    }
  }

  private boolean isRefused(String... ids) {
    return isRefused(quarantine, ids);
  }

  private boolean isRefused(PartQuarantine at, String... ids) {
    at.update(part -> false, nowNanos);
    return at.findQuarantined(parts(ids)).isPresent();
  }

  @Test
  void partUnderThreeSeparateCrashesIsQuarantined() {
    crashes(2, "bad");
    assertThat(isRefused("bad"), is(false));
    crashes(1, "bad");
    assertThat(isRefused("bad", "other"), is(true));
    assertThat(isRefused("other"), is(false));
  }

  @Test
  void partOfAnotherModelIsNotQuarantined() {
    crashes(3, "bad");
    assertThat(isRefused("bad"), is(true));
    Set<PromptPart> ofOtherModel = PromptPart.allOf("pool", "small", List.of("bad"));
    assertThat(quarantine.findQuarantined(ofOtherModel), is(Optional.empty()));
  }

  @Test
  void soundPartsBesideTheCauseAreNotQuarantined() {
    for (int i = 0; i < 6; i++) {
      Incarnation upstream = newUpstream();
      crash(quarantine, upstream, "common", "bad");
      crash(quarantine, upstream, "common", "session" + i % 2);
      crash(quarantine, upstream, "rare" + i);
      passMs(150);
      quarantine.recordAnswer(parts("common"), nowNanos);
      passMs(150);
    }
    assertThat(isRefused("common", "bad"), is(true));
    assertThat(isRefused("common", "session1", "rare3"), is(false));
  }

  @Test
  void partsWithTheSameCrashesAreRefusedOnlyTogether() {
    crashes(3, "new", "bad");
    assertThat(isRefused("new", "bad"), is(true));
    assertThat(isRefused("new"), is(false));
    assertThat(isRefused("bad"), is(false));
  }

  @Test
  void partIsRefusedAloneOnceItsCompanionWasAnswered() {
    crashes(3, "new", "bad");
    assertThat(isRefused("new", "bad"), is(true));
    quarantine.recordAnswer(parts("new"), nowNanos);
    assertThat(isRefused("bad"), is(true));
    assertThat(isRefused("new"), is(false));
  }

  /** Else all sound requests are refused, and none is left whose answer shows that they are. */
  @Test
  void newSoundPartIsNotQuarantinedWhenHalfOfTheUpstreamsCrashAtOnceBesideACrashingPart() {
    crashes(1, "bad");
    Incarnation second = newUpstream();
    crash(quarantine, second, "bad");
    crash(quarantine, second, "new", "common");
    passMs(150);
    for (int i = 0; i < 7; i++) {
      crash(quarantine, newUpstream(), "new", "common");
      passMs(2);
    }
    passMs(150);
    Incarnation third = newUpstream();
    crash(quarantine, third, "bad");
    crash(quarantine, third, "new", "common");
    passMs(300);
    assertThat(isRefused("new", "common"), is(false));
    crashes(1, "bad");
    assertThat(isRefused("bad"), is(true));
    assertThat(isRefused("new", "common"), is(false));
  }

  @Test
  void newPartOfAllRequestsIsNotQuarantinedWhenHalfOfTheUpstreamsCrashAtOnce() {
    for (int i = 0; i < 24; i++) {
      for (int j = 0; j < 18; j++) {
        crash(quarantine, newUpstream(), "new", "session" + j);
      }
    }
    passMs(1_000);
    assertThat(isRefused("new", "session1"), is(false));
  }

  @Test
  void newPartThatAnUpstreamIsAnsweringIsNotQuarantined() {
    crashes(4, "new");
    quarantine.update(part -> part.id().equals("new"), nowNanos);
    assertThat(quarantine.findQuarantined(parts("new")), is(Optional.empty()));
  }

  @Test
  void soundPartsOfOneCrashingRequestAreNotQuarantined() {
    for (int i = 0; i < 6; i++) {
      quarantine.recordCrash(parts("new", "shared"), newUpstream(), 77, nowNanos);
      passMs(300);
    }
    assertThat(isRefused("new", "shared"), is(false));
  }

  @Test
  void crashesForAnotherCauseBesideAQuarantinedPartBlameNoOtherPart() {
    for (int i = 0; i < 4; i++) {
      Incarnation upstream = newUpstream();
      crash(quarantine, upstream, "bad");
      if (i < 3) {
        crash(quarantine, upstream, "bystander");
      }
      passMs(300);
    }
    assertThat(isRefused("bad"), is(true));
    crash(quarantine, newUpstream(), "bystander");
    crash(quarantine, newUpstream(), "bystander");
    passMs(300);
    assertThat(isRefused("bystander"), is(false));
    assertThat(isRefused("bad"), is(true));
  }

  @Test
  void causeIsOpenWhileTwoPartsHaveEquallyManyCrashes() {
    Incarnation first = newUpstream();
    Incarnation second = newUpstream();
    for (Incarnation upstream : List.of(first, second)) {
      crash(quarantine, upstream, "one");
      crash(quarantine, upstream, "two");
      passMs(300);
    }
    crashes(1, "one");
    crashes(1, "two");
    assertThat(isRefused("one"), is(false));
    assertThat(isRefused("two"), is(false));
    crashes(1, "one");
    assertThat(isRefused("one"), is(true));
    assertThat(isRefused("two"), is(false));
  }

  @Test
  void twoPartsThatCrashDifferentUpstreamsAreBothQuarantined() {
    for (int i = 0; i < 3; i++) {
      crashes(1, "bad1", "shared");
      crashes(1, "bad2", "shared");
      quarantine.recordAnswer(parts("shared"), nowNanos);
    }
    assertThat(isRefused("bad1"), is(true));
    assertThat(isRefused("bad2"), is(true));
    assertThat(isRefused("shared"), is(false));
  }

  @Test
  void partThatIsAnsweredIsReleased() {
    crashes(3, "bad");
    assertThat(isRefused("bad"), is(true));
    assertThat(quarantine.recordAnswer(parts("bad"), nowNanos), hasSize(1));
    assertThat(isRefused("bad"), is(false));
    crashes(2, "bad");
    assertThat(isRefused("bad"), is(false));
  }

  @Test
  void partThatWasSoundThroughManyCrashesIsQuarantinedOnceItCrashesUpstreams() {
    for (int i = 0; i < 40; i++) {
      crashes(1, "part");
      quarantine.recordAnswer(parts("part"), nowNanos);
    }
    crashes(3, "part");
    assertThat(isRefused("part"), is(true));
  }

  @Test
  void answerToOnePartDoesNotBeginTheQuarantineOfAnother() {
    crashes(3, "bad");
    assertThat(isRefused("bad"), is(true));
    crashes(3, "new");
    quarantine.recordAnswer(parts("bad"), nowNanos);
    assertThat(quarantine.findQuarantined(parts("new")), is(Optional.empty()));
  }

  @Test
  void oneTrialIsAllowedAfterTheTrialTime() {
    crashes(3, "bad");
    assertThat(isRefused("bad"), is(true));
    Set<PromptPart> group = parts("bad");
    assertThat(quarantine.takeTrial(group, nowNanos), is(false));
    nowNanos += PartQuarantine.TRIAL_NANOS;
    assertThat(quarantine.takeTrial(group, nowNanos), is(true));
    assertThat(quarantine.takeTrial(group, nowNanos), is(false));
    assertThat(isRefused("bad"), is(true));
  }

  @Test
  void reportsOfSeveralProcessesAddUpInAnyOrder() {
    PartQuarantine other = new PartQuarantine();
    PartQuarantine third = new PartQuarantine();
    for (int i = 0; i < 4; i++) {
      crash(i % 2 == 0 ? quarantine : other, newUpstream(), "bad", "common" + i);
      passMs(300);
    }
    third.applyReports(other.reports(nowNanos), nowNanos);
    third.applyReports(quarantine.reports(nowNanos), nowNanos);
    third.applyReports(other.reports(nowNanos), nowNanos);
    assertThat(isRefused(third, "bad"), is(true));
    assertThat(isRefused(third, "common1"), is(false));
  }

  @Test
  void processThatStartsLaterTakesOverTheQuarantine() {
    crashes(3, "bad");
    assertThat(isRefused("bad"), is(true));
    passMs(30_000);
    PartQuarantine started = new PartQuarantine();
    List<PartReport> reports = quarantine.reports(nowNanos);
    long otherClockNanos = -nowNanos;
    assertThat(started.applyReports(reports, otherClockNanos), is(true));
    assertThat(started.update(part -> true, otherClockNanos), is(List.of(parts("bad"))));
    assertThat(started.findQuarantined(parts("bad")).isPresent(), is(true));
    assertThat(started.applyReports(reports, otherClockNanos), is(false));
    assertThat(started.update(part -> true, otherClockNanos), empty());
  }

  @Test
  void releaseIsNotUndoneByAnOlderReport() {
    crashes(3, "bad");
    assertThat(isRefused("bad"), is(true));
    List<PartReport> older = quarantine.reports(nowNanos);
    quarantine.recordAnswer(parts("bad"), nowNanos);
    quarantine.applyReports(older, nowNanos);
    assertThat(isRefused("bad"), is(false));
    crashes(1, "bad");
    assertThat(isRefused("bad"), is(false));
  }

  @Test
  void releaseReachesOtherProcesses() {
    crashes(3, "bad");
    assertThat(isRefused("bad"), is(true));
    PartQuarantine other = new PartQuarantine();
    other.applyReports(quarantine.reports(nowNanos), nowNanos);
    quarantine.recordAnswer(parts("bad"), nowNanos);
    other.applyReports(quarantine.reports(nowNanos), nowNanos);
    assertThat(isRefused(other, "bad"), is(false));
  }

  @Test
  void crashCountsOnlyOnceAllProcessesHaveReportedIt() {
    crashes(2, "bystander");
    crash(quarantine, newUpstream(), "bystander");
    assertThat(isRefused("bystander"), is(false));
    nowNanos += SETTLED_NANOS;
    assertThat(isRefused("bystander"), is(true));
  }

  @Test
  void manyPartsAreBoundedAndTheCauseIsKept() {
    SplittableRandom random = new SplittableRandom(9);
    for (int i = 0; i < 3; i++) {
      Incarnation upstream = newUpstream();
      for (int j = 0; j < 1_000; j++) {
        crash(quarantine, upstream, "part" + random.nextInt(1_000_000), "bad");
      }
      passMs(300);
    }
    assertThat(isRefused("bad"), is(true));
    assertThat(quarantine.reports(nowNanos).size(), is(lessThanOrEqualTo(32)));
  }

  @Test
  void crashesAreForgottenAndAQuarantineIsKeptLonger() {
    crashes(3, "bad");
    assertThat(isRefused("bad"), is(true));
    crashes(1, "other");
    nowNanos += PartQuarantine.KEEP_NANOS;
    assertThat(isRefused("bad"), is(true));
    nowNanos += PartQuarantine.KEEP_QUARANTINED_NANOS;
    assertThat(isRefused("bad"), is(false));
    assertThat(quarantine.isEmpty(), is(true));
  }
}
