package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a prompt part, shared by requests that differ, that crashes head after head. */
@Timeout(60)
class CrashingPartTest {
  private static final int PROCESSES = 3;

  /** More than send their heartbeats to all others. */
  private static final int PROCESSES_WITH_HUBS = 16;

  private static final int SOUND_GAP_MS = 15;
  private static final int CRASHING_GAP_MS = 130;
  private static final int PLAY_MS = 9_000;
  private static final int ALLOWED_CRASHES = 5;
  private static final int MAX_LATE_ARRIVALS = 3;

  /** Five for each of two parts, and as many requests that are under way at the fifth. */
  private static final int MAX_CRASHES = 20;

  private static final int MIN_REQUESTS = 100;
  private static final double MIN_SERVED = 0.98;

  /** Time after the fifth crash within which all processes must refuse the part. */
  private static final long PROPAGATION_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time after the fifth crash until the last crashed heads have started again. */
  private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(4);

  @ParameterizedTest
  @CsvSource({
    "'c1:800,bad:40', 'c1:800,good:40'",
    "'bad:40,c1:800', 'good:40,c1:800'",
    "'c1:800,c2:20,bad:40,c3:9', 'c1:800,c2:20,good:40,c3:9'"
  })
  void partThatCrashesHeadsIsRefusedAndSoundRequestsAreServed(String crashing, String sound)
      throws Exception {
    try (CrashingPartSite site = new CrashingPartSite(PROCESSES, Set.of("bad"))) {
      site.sendEvery(SOUND_GAP_MS, sound);
      Thread.sleep(1_000);
      site.sendEvery(CRASHING_GAP_MS, crashing);
      Thread.sleep(PLAY_MS);
      site.stopSending();
      long fifthNanos = checkFewArrive(site);
      checkServed(site.resultsAfter(fifthNanos + RECOVERY_NANOS, sound));
      checkRefused(site.resultsAfter(fifthNanos + PROPAGATION_NANOS, crashing));
    }
  }

  @Test
  void requestWithTwoPartsThatCrashHeadsAtOnceIsRefused() throws Exception {
    try (CrashingPartSite site = new CrashingPartSite(PROCESSES, Set.of("bad1", "bad2"))) {
      site.sendEvery(SOUND_GAP_MS, "c1:800,good:40");
      Thread.sleep(1_000);
      site.sendEvery(2 * CRASHING_GAP_MS, "c1:800,bad1:40");
      site.sendEvery(2 * CRASHING_GAP_MS, "c1:800,bad2:40");
      Thread.sleep(PLAY_MS);
      site.stopSending();
      long lastNanos = site.crashNanos().get(site.crashNanos().size() - 1);
      assertThat("crashes", site.crashNanos().size(), lessThanOrEqualTo(MAX_CRASHES));
      checkServed(site.resultsAfter(lastNanos + RECOVERY_NANOS, "c1:800,good:40"));
    }
  }

  @Test
  void newSoundPartIsNotRefusedWhenHalfOfTheHeadsCrashAtOnce() throws Exception {
    try (CrashingPartSite site = new CrashingPartSite(PROCESSES, Set.of())) {
      site.sendEvery(SOUND_GAP_MS, "new:800,other:40");
      Thread.sleep(300);
      site.crashHalf();
      Thread.sleep(5_000);
      site.stopSending();
      assertThat(site.logged(), not(containsString("part_quarantined")));
      checkServed(site.resultsAfter(site.crashNanos().get(0) + 500_000_000L, "new:800,other:40"));
    }
  }

  @Test
  void onlyThePartThatCrashesHeadsIsRefusedWhenHalfOfThemCrashForAnotherCause() throws Exception {
    try (CrashingPartSite site = new CrashingPartSite(PROCESSES, Set.of("bad"))) {
      site.sendEvery(SOUND_GAP_MS, "c1:800,good:40");
      Thread.sleep(1_000);
      site.sendEvery(CRASHING_GAP_MS, "c1:800,bad:40");
      site.sendEvery(2 * SOUND_GAP_MS, "new:800,c2:40");
      Thread.sleep(200);
      site.crashHalf();
      Thread.sleep(PLAY_MS + 3_000);
      site.stopSending();
      List<String> quarantined =
          site.logged()
              .lines()
              .filter(line -> line.contains("\"event\":\"part_quarantined\""))
              .toList();
      assertThat(quarantined, everyItem(containsString("llm/m/bad")));
      assertThat(quarantined, everyItem(not(containsString("llm/m/c1"))));
      List<Long> crashes = site.crashNanos();
      long lastNanos = crashes.get(crashes.size() - 1);
      checkServed(site.resultsAfter(lastNanos + RECOVERY_NANOS, "new:800,c2:40"));
      checkRefused(site.resultsAfter(lastNanos + PROPAGATION_NANOS, "c1:800,bad:40"));
    }
  }

  @Test
  void partIsRefusedByProcessesThatStartLaterAndAfterAllHaveEnded() throws Exception {
    try (CrashingPartSite site = new CrashingPartSite(PROCESSES, Set.of("bad"))) {
      site.sendEvery(CRASHING_GAP_MS, "c1:800,bad:40");
      Thread.sleep(4_000);
      site.start(PROCESSES);
      Thread.sleep(2_000);
      int crashes = site.crashNanos().size();
      Thread.sleep(2_000);
      site.restartProcesses();
      Thread.sleep(2_000);
      site.stopSending();
      assertThat("crashes", site.crashNanos().size(), is(crashes));
      assertThat(site.logged(), containsString("\"reason\":\"part_quarantined\""));
    }
  }

  @Test
  void partIsRefusedIfItsRequestsReachHeadsThroughOtherProcesses() throws Exception {
    try (CrashingPartSite site = new CrashingPartSite(PROCESSES, Set.of("bad"))) {
      EdgeSite.Member process = site.site().members().get(0);
      site.sendEvery(SOUND_GAP_MS, "c1:800,good:40");
      Thread.sleep(1_000);
      process.cutAll(PathProxy.Cut.RESET);
      Thread.sleep(1_000);
      site.sendEvery(CRASHING_GAP_MS, process, "c1:800,bad:40");
      Thread.sleep(PLAY_MS);
      site.stopSending();
      checkFewArrive(site);
    }
  }

  @Test
  void partIsRefusedByProcessesThatHearOfItThroughHubs() throws Exception {
    try (CrashingPartSite site = new CrashingPartSite(PROCESSES_WITH_HUBS, Set.of("bad"))) {
      site.sendEvery(SOUND_GAP_MS, "c1:800,good:40");
      Thread.sleep(1_000);
      site.sendEvery(CRASHING_GAP_MS, "c1:800,bad:40");
      Thread.sleep(PLAY_MS);
      site.stopSending();
      long fifthNanos = checkFewArrive(site);
      checkServed(site.resultsAfter(fifthNanos + RECOVERY_NANOS, "c1:800,good:40"));
    }
  }

  /**
   * Checks that few requests with a crashing part reach heads after the fifth crash, or the last if
   * there are fewer; returns its time.
   */
  private static long checkFewArrive(CrashingPartSite site) {
    List<Long> crashes = site.crashNanos();
    assertThat("crashes", crashes.size(), greaterThanOrEqualTo(ALLOWED_CRASHES - 2));
    long fifthNanos = crashes.get(Math.min(crashes.size(), ALLOWED_CRASHES) - 1);
    assertThat(
        "arrivals of " + crashes.size() + " crashes",
        site.crashingArrivalsAfter(fifthNanos + PROPAGATION_NANOS),
        lessThanOrEqualTo((long) MAX_LATE_ARRIVALS));
    return fifthNanos;
  }

  private static void checkRefused(List<CrashingPartSite.Result> results) {
    long refused = results.stream().filter(result -> result.status() == 503).count();
    assertThat("refused", refused, is((long) results.size()));
  }

  private static void checkServed(List<CrashingPartSite.Result> results) {
    long served = results.stream().filter(CrashingPartSite.Result::isServed).count();
    assertThat("requests", results.size(), greaterThan(MIN_REQUESTS));
    assertThat(
        "served of " + results.size(),
        (double) served / results.size(),
        greaterThanOrEqualTo(MIN_SERVED));
  }
}
