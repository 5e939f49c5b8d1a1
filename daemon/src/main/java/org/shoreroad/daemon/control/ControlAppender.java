package org.shoreroad.daemon.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.Verdict;
import org.shoreroad.daemon.kernel.EventLoop;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.platform.LogException;
import org.shoreroad.daemon.platform.PlatformLog;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.state.ClusterState;
import org.shoreroad.state.LogRecord;
import org.shoreroad.state.Outcome;
import org.shoreroad.state.RecordCodec;

/**
 * Appends control records on a thread of its own, all that wait in one append, and tells what
 * became of each.
 *
 * <p>What became of a record is known only when it was met in the stream. An append whose answer
 * was lost is therefore not an error at first: the record is met, or it is appended again under the
 * same id, which applies to nothing if the first did take effect. Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class ControlAppender implements Service {
  /** The name of this service. */
  public static final String NAME = "control-append";

  private static final long BUSY_TICK_MS = 20;
  private static final long IDLE_TICK_MS = 200;
  private static final long RETRY_MS = 300;
  private static final long GIVE_UP_MS = 3_000;
  private static final long RETRY_AFTER_MS = 2_000;

  private final PlatformLog log;
  private final ControlLog control;
  private final Metrics metrics;
  private final EventLoop duty;
  private final String idPrefix;
  private final Map<String, Pending> pendingById = new LinkedHashMap<>();
  private long nextId;

  private record Pending(
      LogRecord record,
      CompletableFuture<Outcome> outcome,
      long askedNanos,
      long appendedNanos,
      boolean isMaybeAppended) {
    Pending withAppended(long nowNanos, boolean isMaybe) {
      return new Pending(record, outcome, askedNanos, nowNanos, isMaybeAppended || isMaybe);
    }
  }

  /** Creates the appender; {@link #start} starts its thread. */
  @Inject
  public ControlAppender(PlatformLog log, ControlLog control, Metrics metrics, Settings settings) {
    this.log = log;
    this.control = control;
    this.metrics = metrics;
    this.idPrefix = settings.nodeId() + "-" + UUID.randomUUID().toString().substring(0, 8) + "-";
    this.duty = new EventLoop(NAME, this::tick);
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    control.addListener(state -> duty.tryPost(() -> settle(state)));
    duty.start();
  }

  @Override
  public void stop() {
    duty.stop();
  }

  /** Returns a record id that no other record has. */
  public synchronized String newId() {
    return idPrefix + nextId++;
  }

  /**
   * Appends a record.
   *
   * @param record the record, not null
   * @return completes with what became of it, or with a {@link ShoreroadException} whose verdict
   *     says whether it may yet take effect
   */
  public CompletableFuture<Outcome> append(LogRecord record) {
    CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    boolean isPosted =
        duty.tryPost(
            () -> {
              Pending pending = new Pending(record, outcome, System.nanoTime(), 0, false);
              pendingById.put(record.id(), pending);
            });
    if (!isPosted) {
      outcome.completeExceptionally(unavailable(Verdict.NOT_RUN));
    }
    return outcome;
  }

  private long tick(long nowNanos) {
    giveUpLate(nowNanos);
    List<Pending> due = new ArrayList<>();
    for (Pending pending : pendingById.values()) {
      boolean isNew = pending.appendedNanos() == 0;
      if (isNew || nowNanos - pending.appendedNanos() >= TimeUnit.MILLISECONDS.toNanos(RETRY_MS)) {
        due.add(pending);
      }
    }
    if (!due.isEmpty()) {
      appendAll(due);
    }
    settle(control.state());
    return pendingById.isEmpty() ? IDLE_TICK_MS : BUSY_TICK_MS;
  }

  private void appendAll(List<Pending> due) {
    boolean isMaybe = true;
    try {
      log.append(
          ControlLog.STREAM, due.stream().map(p -> RecordCodec.toBytes(p.record())).toList());
      metrics.count("shoreroad.control.appends", "result", "taken");
    } catch (LogException e) {
      isMaybe = !e.isRefused();
      metrics.count("shoreroad.control.appends", "result", e.isRefused() ? "refused" : "unknown");
    }
    long nowNanos = System.nanoTime();
    for (Pending pending : due) {
      pendingById.put(pending.record().id(), pending.withAppended(nowNanos, isMaybe));
    }
  }

  private void settle(ClusterState state) {
    pendingById
        .values()
        .removeIf(
            pending -> {
              var outcome = state.outcomeOf(pending.record().id());
              outcome.ifPresent(pending.outcome()::complete);
              return outcome.isPresent();
            });
  }

  private void giveUpLate(long nowNanos) {
    pendingById
        .values()
        .removeIf(
            pending -> {
              boolean isLate =
                  nowNanos - pending.askedNanos() > TimeUnit.MILLISECONDS.toNanos(GIVE_UP_MS);
              if (isLate) {
                Verdict verdict =
                    pending.isMaybeAppended() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
                pending.outcome().completeExceptionally(unavailable(verdict));
              }
              return isLate;
            });
  }

  private static ShoreroadException unavailable(Verdict verdict) {
    return ShoreroadException.of(
        ErrorCode.LOG_UNAVAILABLE, verdict, "the log did not take the record", RETRY_AFTER_MS);
  }
}
