package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.quarantine.Crash;
import org.shoreroad.quarantine.CrashSuspicion;
import org.shoreroad.quarantine.RequestFingerprint;

class CrashMonitorTest {
  private static final RequestFingerprint REQUEST = new RequestFingerprint(1, 2);
  private static final int STEP_MS = 10;
  private static final int MAX_CHECKS = 25;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
  private long nowNanos;
  private final EventLog log = new EventLog("t", () -> nowNanos, logged);
  private final EdgeMetrics metrics = new EdgeMetrics();
  private final RequestQuarantine quarantine = new RequestQuarantine(() -> nowNanos, log, metrics);
  private final Queue<EndCheck.Outcome> outcomes = new ArrayDeque<>();
  private EndCheck.Outcome lastOutcome = EndCheck.Outcome.RUNNING;
  private int checks;
  private final CrashMonitor monitor =
      new CrashMonitor(
          () -> nowNanos,
          new RepeatingTimer(channel.eventLoop(), log),
          log,
          metrics,
          quarantine,
          new PartGuard(() -> nowNanos, log, metrics));

  CrashMonitorTest() {
    channel.freezeTime();
    monitor.setEndCheck(this::check);
  }

  private void check(FleetBox box, Consumer<EndCheck.Outcome> callback) {
    checks++;
    EndCheck.Outcome next = outcomes.poll();
    callback.accept(next == null ? lastOutcome : next);
  }

  private static FleetBox box(String id) {
    return new FleetBox(id, "web", "127.0.0.1:1", "z", 6, false, null, null, List.of(), null);
  }

  private void suspect(String id, CrashSuspicion.Kind kind) {
    Crash crash = new Crash(box(id).incarnation(), true);
    monitor.suspect(box(id), new CrashSuspicion(REQUEST, Set.of(), crash, kind));
  }

  private void advance(int millis) {
    for (int passed = 0; passed < millis; passed += STEP_MS) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(STEP_MS);
      channel.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
  }

  private int crashes() {
    return quarantine.reports().stream().mapToInt(report -> report.crashes().size()).sum();
  }

  @Test
  void upstreamThatHasEndedIsACrashAtOnce() {
    lastOutcome = EndCheck.Outcome.ENDED;
    for (int i = 0; i < 3; i++) {
      suspect("i-" + i, CrashSuspicion.Kind.BROKEN_OFF);
    }
    assertThat(quarantine.isQuarantined(() -> REQUEST), is(true));
  }

  /** A process that ends may close its connections before it stops listening. */
  @Test
  void upstreamThatAcceptsAConnectionAtOnceMayStillHaveEnded() {
    outcomes.add(EndCheck.Outcome.RUNNING);
    lastOutcome = EndCheck.Outcome.ENDED;
    suspect("i-1", CrashSuspicion.Kind.BROKEN_OFF);
    assertThat(crashes(), is(0));
    advance(150);
    assertThat(crashes(), is(1));
  }

  @Test
  void requestsOfUpstreamsThatRunAreNotQuarantinedNorHeldBackForLong() {
    for (int i = 0; i < 3; i++) {
      suspect("i-" + i, CrashSuspicion.Kind.BROKEN_OFF);
    }
    assertThat(monitor.isUndecided(() -> REQUEST), is(true));
    advance(220);
    assertThat(monitor.isUndecided(() -> REQUEST), is(false));
    advance(10_000);
    assertThat(crashes(), is(0));
    log.flush();
    assertThat(logged.toString(StandardCharsets.UTF_8), containsString("crash_uncounted"));
  }

  @Test
  void upstreamThatEndsSomeTimeAfterItFellSilentIsACrash() {
    outcomes.add(EndCheck.Outcome.RUNNING);
    lastOutcome = EndCheck.Outcome.ENDED;
    suspect("i-1", CrashSuspicion.Kind.UNANSWERED);
    assertThat("checks at once", checks, is(0));
    advance(2_900);
    assertThat(crashes(), is(0));
    advance(200);
    assertThat(crashes(), is(1));
  }

  @Test
  void failedRequestsCauseNoChecksButCountIfTheirUpstreamEndsSoon() {
    lastOutcome = EndCheck.Outcome.ENDED;
    suspect("i-1", CrashSuspicion.Kind.FAILED);
    advance(200);
    assertThat(checks, is(0));
    monitor.onIdleConnectionEnded("another:1");
    assertThat(checks, is(0));
    monitor.onIdleConnectionEnded(box("i-1").address());
    assertThat(crashes(), is(1));
  }

  @Test
  void upstreamOfAFailedRequestThatEndsLaterIsNoCrash() {
    lastOutcome = EndCheck.Outcome.ENDED;
    suspect("i-1", CrashSuspicion.Kind.FAILED);
    advance(400);
    monitor.onIdleConnectionEnded(box("i-1").address());
    assertThat(crashes(), is(0));
  }

  @Test
  void upstreamOfAnAnswerWithoutAStatedEndIsCheckedTwice() {
    outcomes.add(EndCheck.Outcome.RUNNING);
    lastOutcome = EndCheck.Outcome.ENDED;
    suspect("i-1", CrashSuspicion.Kind.UNFRAMED);
    assertThat(monitor.isUndecided(() -> REQUEST), is(false));
    advance(150);
    assertThat(crashes(), is(1));
    assertThat(checks, is(2));
  }

  /** An upstream that spoils many answers must not get a connection for each of them. */
  @Test
  void manyFailuresOfAnUpstreamThatRunsCauseFewChecksAndAreDecided() {
    for (int i = 0; i < 200; i++) {
      suspect("i-1", CrashSuspicion.Kind.BROKEN_OFF);
      advance(STEP_MS);
    }
    assertThat(checks, lessThanOrEqualTo(MAX_CHECKS));
    advance(220);
    assertThat(monitor.isUndecided(() -> REQUEST), is(false));
    assertThat(crashes(), is(0));
  }

  @Test
  void endIsFoundWhileRequestsGoOnFailing() {
    for (int i = 0; i < 50; i++) {
      lastOutcome = i < 20 ? EndCheck.Outcome.RUNNING : EndCheck.Outcome.ENDED;
      suspect("i-1", CrashSuspicion.Kind.BROKEN_OFF);
      advance(STEP_MS);
    }
    assertThat(crashes(), is(1));
  }

  @Test
  void upstreamWithoutSuspicionsIsNotChecked() {
    monitor.checkIfSuspected(box("i-1"));
    monitor.onRemoved(box("i-1"));
    advance(1_000);
    assertThat(checks, is(0));
  }

  @Test
  void upstreamThatStaysUnreachedCountsAsEnded() {
    lastOutcome = EndCheck.Outcome.UNREACHED;
    suspect("i-1", CrashSuspicion.Kind.BROKEN_OFF);
    assertThat(crashes(), is(0));
    advance(1_000);
    assertThat(crashes(), is(1));
  }

  @Test
  void upstreamThatIsReachedAgainHasNotEnded() {
    outcomes.addAll(List.of(EndCheck.Outcome.UNREACHED, EndCheck.Outcome.UNREACHED));
    suspect("i-1", CrashSuspicion.Kind.BROKEN_OFF);
    advance(10_000);
    assertThat(crashes(), is(0));
  }

  @Test
  void checkWithoutAnyPathIsRepeatedForSomeTimeOnly() {
    lastOutcome = EndCheck.Outcome.UNKNOWN;
    suspect("i-1", CrashSuspicion.Kind.BROKEN_OFF);
    advance(20_000);
    assertThat(checks, lessThanOrEqualTo(MAX_CHECKS));
    assertThat(crashes(), is(0));
  }

  @Test
  void upstreamThatIsRemovedWithoutNoticeIsChecked() {
    suspect("i-1", CrashSuspicion.Kind.UNANSWERED);
    lastOutcome = EndCheck.Outcome.ENDED;
    monitor.onRemoved(box("i-1"));
    advance(STEP_MS);
    assertThat(crashes(), is(1));
  }

  @Test
  void plannedEndIsNoCrash() {
    suspect("i-1", CrashSuspicion.Kind.BROKEN_OFF);
    lastOutcome = EndCheck.Outcome.ENDED;
    monitor.onRemoved(box("i-1").withLeaving());
    advance(5_000);
    assertThat(crashes(), is(0));
  }
}
