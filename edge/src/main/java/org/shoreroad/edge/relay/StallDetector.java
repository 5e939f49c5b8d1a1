package org.shoreroad.edge.relay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.shoreroad.edge.EventLog;

/**
 * Detects stalled replicas and has their requests sent to other heads as well.
 *
 * <p>A replica whose engine lost a member still accepts requests, but makes no progress on any of
 * them. A head that has sent this process no event for longer than its passes can take is therefore
 * suspected: it gets no new requests, and those open at it are also sent to other heads. Used on
 * the event loop.
 *
 * @since 0.2
 */
public final class StallDetector {
  /** A head that made progress here this recently is not suspected on a peer's report. */
  private static final long RECENT_PROGRESS_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

  /** Delay before another attempt to send a request of a stalled head to another one. */
  private static final long RESEND_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  /**
   * Time without a byte to this process, while the upstream makes progress for others, after which
   * the path to it is checked.
   */
  private static final long HIDDEN_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Minimum interval between confirmations of a suspicion that another process reported first. */
  private static final long CONFIRM_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time without a byte on a lost path after which a request is sent by another one as well. */
  private static final long LOST_PATH_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final UpstreamTable table;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private Consumer<String> suspicionListener = head -> {};
  private PathCheck pathCheck = PathCheck.SOUND;

  /** Creates a detector that suspects no head. */
  public StallDetector(UpstreamTable table, LongSupplier clockNanos, EventLog log) {
    this.table = table;
    this.clockNanos = clockNanos;
    this.log = log;
  }

  /** Sets the callback for the id of a head that this process finds stalled. */
  public void setSuspicionListener(Consumer<String> listener) {
    suspicionListener = listener;
  }

  /** Sets the check of the paths to upstreams; without it, all are taken for sound. */
  public void setPathCheck(PathCheck check) {
    pathCheck = check;
  }

  /** Returns the ids of the heads that are suspected now, by this process or by a peer. */
  public Set<String> suspectedIds() {
    long nowNanos = clockNanos.getAsLong();
    return idsOf(load -> load.isSuspectedAt(nowNanos));
  }

  /**
   * Returns the ids of the heads that this process itself found stalled, for the reports to peers.
   *
   * <p>Suspicions reported by peers are not included. If each process repeated them as its own,
   * they would circulate forever and keep requests away from replicas that have recovered.
   */
  public Set<String> ownSuspectedIds() {
    long nowNanos = clockNanos.getAsLong();
    return idsOf(load -> load.hasOwnSuspicionAt(nowNanos));
  }

  private Set<String> idsOf(Predicate<UpstreamLoad> condition) {
    Set<String> ids = new HashSet<>();
    table
        .loads()
        .forEach(
            (id, load) -> {
              if (condition.test(load)) {
                ids.add(id);
              }
            });
    return ids;
  }

  /**
   * Applies the suspicions of a peer, except for heads with recent progress at this process.
   *
   * <p>A suspected head gets no new requests. Open requests of this process are sent to other heads
   * only after its own timeout: if all processes did so at once, these would be overloaded.
   *
   * @return true if a head is newly suspected
   */
  public boolean suspectByPeer(Set<String> boxIds) {
    boolean isNew = false;
    for (String id : boxIds) {
      isNew |= suspectByPeer(id, clockNanos.getAsLong());
    }
    return isNew;
  }

  private boolean suspectByPeer(String boxId, long nowNanos) {
    UpstreamLoad load = table.loadOf(boxId);
    boolean hasProgressed =
        load.ownOpenCount() > 0 && nowNanos - load.progressNanos() < RECENT_PROGRESS_NANOS;
    // A peer without the newest fleet state may report a stall of the former replica.
    if (hasProgressed || load.isSuspected() || load.isNewlyFormedAt(nowNanos)) {
      return false;
    }
    load.suspect(false, nowNanos);
    log.write("replica_suspected", "head", boxId, "by", "peer");
    return true;
  }

  /**
   * Finds stalled heads and has their requests sent to other heads as well.
   *
   * @return the time until the next stall timeout can expire or the next attempt to send a request
   *     to another head is due, in nanoseconds; {@link Long#MAX_VALUE} if there is neither
   */
  public long findStalled() {
    long nowNanos = clockNanos.getAsLong();
    long nextNanos = Long.MAX_VALUE;
    for (UpstreamLoad load : table.loadsWithOwnRequests()) {
      for (Exchange exchange : new ArrayList<>(load.open())) {
        ModelEngine engine = exchange.engine();
        Attempt attempt = exchange.attemptAt(load);
        if (attempt == null || load.isPaused(exchange)) {
          continue;
        }
        if (attempt.isOnLostPath()) {
          boolean isSilent = nowNanos - load.ownSilentSinceNanos() > LOST_PATH_SILENCE_NANOS;
          if (isSilent && exchange.onStall(load)) {
            nextNanos = Math.min(nextNanos, RESEND_DELAY_NANOS);
          }
          continue;
        }
        if (nowNanos - load.ownSilentSinceNanos() > HIDDEN_SILENCE_NANOS
            && load.takePathCheck(HIDDEN_SILENCE_NANOS, nowNanos)) {
          pathCheck.suspect(attempt.target().box());
        }
        if (engine == null) {
          continue;
        }
        long timeoutNanos = StallTimeout.nanos(engine, load, nowNanos);
        long leftNanos = timeoutNanos - (nowNanos - load.silentSinceNanos());
        if (leftNanos >= 0) {
          nextNanos = Math.min(nextNanos, leftNanos);
        } else if (suspectAndResend(load, exchange, attempt, nowNanos)) {
          nextNanos = Math.min(nextNanos, RESEND_DELAY_NANOS);
        }
      }
    }
    return nextNanos;
  }

  /** Returns true if the request could not be sent to another head now, but may be soon. */
  private boolean suspectAndResend(
      UpstreamLoad load, Exchange exchange, Attempt attempt, long nowNanos) {
    boolean isNew = !load.isSuspectedAt(nowNanos);
    load.suspect(false, nowNanos);
    String headId = attempt.target().box().id();
    if (isNew) {
      log.write(
          "replica_suspected",
          "head",
          headId,
          "by",
          "silence",
          "silentMs",
          TimeUnit.NANOSECONDS.toMillis(nowNanos - load.silentSinceNanos()),
          "ownSilentMs",
          TimeUnit.NANOSECONDS.toMillis(nowNanos - load.ownSilentSinceNanos()),
          "open",
          load.openCount(),
          "waitingTokens",
          load.waitingPromptTokens());
    }
    if (isNew
        || (!load.hasOwnSuspicionAt(nowNanos)
            && load.takePathCheck(CONFIRM_INTERVAL_NANOS, nowNanos))) {
      pathCheck.confirm(
          attempt.target().box().service(),
          load.silentSinceNanos(),
          isReached -> reportSuspicion(load, headId, isNew, isReached));
    }
    return exchange.onStall(load);
  }

  /** Reports a stall to the other processes, unless only this process has lost its path. */
  private void reportSuspicion(UpstreamLoad load, String headId, boolean isNew, boolean isReached) {
    if (isReached) {
      load.confirmSuspicion();
      if (isNew) {
        suspicionListener.accept(headId);
      }
    } else {
      load.clearExclusion();
    }
  }
}
