package org.shoreroad.it;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Single requests at the moments that matter. */
class RequestTest {
  private Site site;

  @BeforeEach
  void startSite() {
    site = Site.start(3, 1, 4, false);
    site.configure(1);
    site.awaitServing(1);
  }

  @AfterEach
  void stopSite() {
    site.close();
  }

  private CompletableFuture<Site.Answer> later(int daemon, String kind, String key, String body) {
    return CompletableFuture.supplyAsync(() -> site.chat(daemon, kind, key, body));
  }

  private void awaitRunning() {
    site.await("a request runs", () -> site.metricOfAll("shoreroad_owner_requests_running") > 0);
  }

  @Test
  void testRetry_earlierAttemptKeepsItsVerdict() {
    site.engines.values().forEach(engine -> engine.setTokenDelayMs(100));
    CompletableFuture<Site.Answer> answer = later(0, "lookup", "", Site.body("slow", 40, false));
    awaitRunning();
    site.engines.get("d1-b2").kill();
    assertThat(answer.join().toString(), answer.join().status(), is(503));
    assertThat(answer.join().verdict(), is("may_have_run"));
  }

  @Test
  void testStream_cutInTheMiddleCannotBeTakenForWhole() {
    site.engines.values().forEach(engine -> engine.setTokenDelayMs(50));
    CompletableFuture<Site.Answer> answer = later(0, "lookup", "", Site.body("cut", 100, true));
    site.await("tokens flow", () -> site.metricOfAll("shoreroad_owner_requests_running") > 0);
    Site.sleep(500);
    site.engines.get("d1-b2").kill();
    Site.Answer got = answer.join();
    assertThat("the connection was cut", got.status(), is(0));
    assertThat(got.body(), containsString("cut.0"));
    assertThat(got.body(), containsString("\"error\""));
    assertThat(got.verdict(), is("may_have_run"));
    assertThat(got.body(), not(containsString("[DONE]")));
  }

  @Test
  void testStream_brokenConnectionIsResumedWithoutLossOrRepeat() {
    site.engines.values().forEach(engine -> engine.setCutAfterTokens(7));
    Site.Answer got = site.chat(0, "bulletin", Site.newKey(), Site.body("resumed", 30, true));
    CallerOutcome outcome = new CallerOutcome("resumed", 30, false, got);
    assertThat(got.toString(), got.status(), is(200));
    assertThat(HistoryChecker.findViolations(site.history.events(), List.of(outcome)), is(empty()));
    assertThat(
        site.metricOfAll("shoreroad_retries_total{reason=\"stream_resumed\"}"), greaterThan(0.0));
  }

  @Test
  void testStream_pauseOfABoxWithinItsLimitCutsNothing() {
    site.engines.values().forEach(engine -> engine.setTokenDelayMs(40));
    CompletableFuture<Site.Answer> answer =
        later(0, "bulletin", Site.newKey(), Site.body("paused", 70, true));
    awaitRunning();
    site.engines.get("d1-b2").setFrozen(true);
    Site.sleep(1_400);
    site.engines.get("d1-b2").setFrozen(false);
    Site.Answer got = answer.join();
    assertThat(got.toString(), got.status(), is(200));
    assertThat(
        HistoryChecker.findViolations(
            site.history.events(), List.of(new CallerOutcome("paused", 70, false, got))),
        is(empty()));
  }

  @Test
  void testStream_ownerLostIsResumedAtTheNextOwner() {
    int owner =
        IntStream.range(0, 3)
            .filter(i -> site.metric(i, "shoreroad_owner_replicas_serving") == 1)
            .findFirst()
            .orElseThrow();
    int gateway = (owner + 1) % 3;
    site.engines.values().forEach(engine -> engine.setTokenDelayMs(60));
    CompletableFuture<Site.Answer> answer =
        later(gateway, "bulletin", Site.newKey(), Site.body("moved", 70, true));
    awaitRunning();
    Site.sleep(400);
    site.daemons.get(owner).stopNow();
    Site.Answer got = answer.join();
    assertThat(got.toString(), got.status(), is(200));
    assertThat(
        HistoryChecker.findViolations(
            site.history.events(), List.of(new CallerOutcome("moved", 70, false, got))),
        is(empty()));
  }

  @Test
  void testKey_twentyRepeatsAtOnceRunOnce() {
    String key = Site.newKey();
    List<CompletableFuture<Site.Answer>> answers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      answers.add(later(i % 3, "bulletin", key, Site.body("twenty", 5, false)));
    }
    List<CallerOutcome> outcomes = new ArrayList<>();
    answers.forEach(a -> outcomes.add(new CallerOutcome("twenty", 5, false, a.join())));
    assertThat(HistoryChecker.findViolations(site.history.events(), outcomes), is(empty()));
    assertThat(outcomes.stream().filter(o -> o.answer().isWhole()).count(), is(1L));
  }

  @Test
  void testKey_withdrawnAfterARefusalRunsLater() {
    String[] lastKey = new String[1];
    site.engines.get("d1-b2").kill();
    site.await(
        "refused as not run",
        () -> {
          lastKey[0] = Site.newKey();
          Site.Answer a = site.chat(0, "bulletin", lastKey[0], Site.body("again", 3, false));
          return a.status() == 503 && a.verdict().equals("not_run");
        });
    String key = lastKey[0];
    site.engines.get("d1-b2").revive();
    site.awaitServing(1);
    site.await(
        "the same key runs",
        () -> site.chat(1, "bulletin", key, Site.body("again", 3, false)).status() == 200);
  }

  @Test
  void testLogDown_repeatableGoesOnAndTheOtherIsRefusedAtOnce() {
    site.log.setDown(true);
    site.await(
        "the outage is noticed", () -> site.metric(0, "shoreroad_control_log_reachable") == 0);
    long begunNanos = System.nanoTime();
    Site.Answer refused = site.chat(0, "bulletin", Site.newKey(), Site.body("x", 3, false));
    assertThat(refused.toString(), refused.code(), is("log_unavailable"));
    assertThat(refused.verdict(), is("not_run"));
    assertThat(refused.headers().containsKey("retry-after"), is(true));
    assertThat(System.nanoTime() - begunNanos < 5_000_000_000L, is(true));
    Site.sleep(3_000);
    assertThat(site.chat(1, "lookup", "", Site.body("y", 3, false)).status(), is(200));
  }

  @Test
  void testLogDown_ownerDiesAndItsReplicaPassesOn() {
    int owner =
        IntStream.range(0, 3)
            .filter(i -> site.metric(i, "shoreroad_owner_replicas_serving") == 1)
            .findFirst()
            .orElseThrow();
    site.log.setDown(true);
    site.daemons.get(owner).stopNow();
    int gateway = (owner + 1) % 3;
    site.await(
        "served by another owner while the log is down",
        () -> site.chat(gateway, "lookup", "", Site.body("z", 3, false)).status() == 200);
  }

  @Test
  void testDrain_boxIsReleasedWithoutCuttingOff() {
    site.engines.values().forEach(engine -> engine.setTokenDelayMs(50));
    CompletableFuture<Site.Answer> answer = later(0, "lookup", "", Site.body("drained", 60, true));
    awaitRunning();
    assertThat(site.ops(1, "POST", "drain/d1-b3", "").status(), is(200));
    Site.Answer got = answer.join();
    assertThat(got.toString(), got.status(), is(200));
    site.await(
        "no generation holds the box",
        () -> !site.ops(0, "GET", "replicas", "").body().contains("d1-b3"));
  }

  @Test
  void testLeaving_noNewWorkAfterSeconds() {
    site.boxList.setState("d1-b3", "leaving");
    site.await(
        "refused",
        () -> site.chat(0, "lookup", "", Site.body("l", 2, false)).code().equals("no_replica"));
    long starts = site.history.events().stream().filter(e -> e.kind().equals("start")).count();
    for (int i = 0; i < 20; i++) {
      assertThat(site.chat(i % 3, "lookup", "", Site.body("l", 2, false)).status(), is(503));
    }
    assertThat(
        site.history.events().stream().filter(e -> e.kind().equals("start")).count(), is(starts));
  }

  @Test
  void testOperators_racingAreToldAndNothingIsMixed() {
    String base = site.ops(0, "GET", "status", "").body();
    long version = Long.parseLong(base.replaceAll("(?s).*\"config_version\" : ([0-9]+).*", "$1"));
    String one = site.yaml(1, version).replace("max_queued: 512", "max_queued: 100");
    String two = site.yaml(1, version).replace("max_queued: 512", "max_queued: 200");
    List<CompletableFuture<Site.Answer>> answers =
        List.of(
            CompletableFuture.supplyAsync(() -> site.ops(0, "POST", "config", one)),
            CompletableFuture.supplyAsync(() -> site.ops(1, "POST", "config", two)));
    List<Integer> statuses = answers.stream().map(a -> a.join().status()).sorted().toList();
    assertThat(statuses, is(List.of(200, 409)));
    Site.Answer loser =
        answers.stream()
            .map(CompletableFuture::join)
            .filter(a -> a.status() == 409)
            .findFirst()
            .orElseThrow();
    assertThat(loser.body(), containsString("model/m was changed at version"));
    for (int i = 0; i < 3; i++) {
      int daemon = i;
      site.await(
          "in force at " + i,
          () -> site.metric(daemon, "shoreroad_control_config_version") > version);
    }
  }

  @ParameterizedTest
  @CsvSource({"--checkpoint-records,5", "--checkpoint-ms,300"})
  void testCheckpoint_newProcessJoinsAfterRecordsExpired(String flag, String value) {
    try (Site small = Site.startWithRetention(2, 12, flag, value)) {
      small.configure(1);
      small.awaitServing(1);
      for (int i = 0; i < 12; i++) {
        assertThat(small.ops(0, "POST", "drain/d1-b1", "").status(), is(200));
        assertThat(small.ops(0, "POST", "undrain/d1-b1", "").status(), is(200));
      }
      // What lies after the last checkpoint must not expire before the next one.
      small.await(
          "a checkpoint stands",
          () -> small.metricOfAll("shoreroad_control_checkpoints_total") > 0);
      Site.sleep(400);
      small.addDaemon("late");
      small.await("joined", () -> small.isReady(small.opsUrls.get(2)));
      assertThat(
          small.metric(2, "shoreroad_control_catchups_total{source=\"checkpoint\"}"),
          greaterThanOrEqualTo(1.0));
      small.awaitServing(1);
      assertThat(small.chat(2, "lookup", "", Site.body("late", 2, false)).status(), is(200));
    }
  }
}
