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
 * Appends control records on its own thread, all pending ones in one append, and returns the
 * outcome of each.
 *
 * <p>The outcome of a record is determined only when the record is read back from the stream. So an
 * append whose answer was lost is not an error at first: either the record is read back, or it is
 * appended again under the same id, which has no effect if the first append succeeded. Thread-safe.
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
  private static final long APPEND_TIMEOUT_MS = 3_000;
  private static final long RETRY_AFTER_MS = 2_000;

  private final PlatformLog log;
  private final ControlLog control;
  private final Metrics metrics;
  private final EventLoop eventLoop;
  private final String idPrefix;
  private final Map<String, Pending> pendingById = new LinkedHashMap<>();
  private long nextId;

  private record Pending(
      LogRecord record,
      CompletableFuture<Outcome> outcome,
      long submittedNanos,
      long appendedNanos,
      boolean isMaybeAppended) {
    Pending withAppended(long nowNanos, boolean isMaybeAppendedNow) {
      return new Pending(
          record, outcome, submittedNanos, nowNanos, isMaybeAppended || isMaybeAppendedNow);
    }
  }

  /** Creates the appender; {@link #start} starts its thread. */
  @Inject
  public ControlAppender(PlatformLog log, ControlLog control, Metrics metrics, Settings settings) {
    this.log = log;
    this.control = control;
    this.metrics = metrics;
    this.idPrefix = settings.nodeId() + "-" + UUID.randomUUID().toString().substring(0, 8) + "-";
    this.eventLoop = new EventLoop(NAME, this::tick);
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    control.addListener(state -> eventLoop.tryPost(() -> completeApplied(state)));
    eventLoop.start();
  }

  @Override
  public void stop() {
    eventLoop.stop();
  }

  /** Returns a new unique record id. */
  public synchronized String newId() {
    return idPrefix + nextId++;
  }

  /**
   * Appends a record.
   *
   * @param record the record, not null
   * @return a future of the record's outcome; it fails with a {@link ShoreroadException} whose
   *     verdict tells whether the record may still take effect
   */
  public CompletableFuture<Outcome> append(LogRecord record) {
    CompletableFuture<Outcome> outcome = new CompletableFuture<>();
    boolean isPosted =
        eventLoop.tryPost(
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
    failExpired(nowNanos);
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
    completeApplied(control.state());
    return pendingById.isEmpty() ? IDLE_TICK_MS : BUSY_TICK_MS;
  }

  private void appendAll(List<Pending> due) {
    boolean isMaybeAppendedNow = true;
    try {
      log.append(
          ControlLog.STREAM, due.stream().map(p -> RecordCodec.toBytes(p.record())).toList());
      metrics.count("shoreroad.control.appends", "result", "taken");
    } catch (LogException e) {
      isMaybeAppendedNow = !e.isRefused();
      metrics.count("shoreroad.control.appends", "result", e.isRefused() ? "refused" : "unknown");
    }
    long nowNanos = System.nanoTime();
    for (Pending pending : due) {
      pendingById.put(pending.record().id(), pending.withAppended(nowNanos, isMaybeAppendedNow));
    }
  }

  private void completeApplied(ClusterState state) {
    pendingById
        .values()
        .removeIf(
            pending -> {
              var outcome = state.outcomeOf(pending.record().id());
              outcome.ifPresent(pending.outcome()::complete);
              return outcome.isPresent();
            });
  }

  private void failExpired(long nowNanos) {
    pendingById
        .values()
        .removeIf(
            pending -> {
              boolean isExpired =
                  nowNanos - pending.submittedNanos()
                      > TimeUnit.MILLISECONDS.toNanos(APPEND_TIMEOUT_MS);
              if (isExpired) {
                Verdict verdict =
                    pending.isMaybeAppended() ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
                pending.outcome().completeExceptionally(unavailable(verdict));
              }
              return isExpired;
            });
  }

  private static ShoreroadException unavailable(Verdict verdict) {
    return ShoreroadException.of(
        ErrorCode.LOG_UNAVAILABLE,
        verdict,
        "the record was not confirmed in the log",
        RETRY_AFTER_MS);
  }
}
