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
 * Detects replicas that stand still and has their requests sent to other heads as well.
 *
 * <p>A replica whose engine lost a member takes requests on, and none of them moves. So a head from
 * which no request of this process got anything for longer than its passes can take is suspected:
 * it gets nothing new, and what it has is sent elsewhere too. Used on the event loop.
 *
 * @since 0.2
 */
public final class StallDetector {
  /**
   * A head that gave this process something within this time is not suspected on a peer's report.
   */
  private static final long RECENT_PROGRESS_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

  /** A request that could not be sent elsewhere from a silent head is tried again this soon. */
  private static final long MOVE_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  private final UpstreamTable table;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private Consumer<String> onSuspicion = head -> {};

  /** Creates a detector that suspects no head. */
  public StallDetector(UpstreamTable table, LongSupplier clockNanos, EventLog log) {
    this.table = table;
    this.clockNanos = clockNanos;
    this.log = log;
  }

  /** Sets what takes the id of a head that this process finds to stand still. */
  public void setSuspicionListener(Consumer<String> listener) {
    onSuspicion = listener;
  }

  /** Returns the heads that are suspected now, by this process or on a peer's report. */
  public Set<String> suspectedIds() {
    long nowNanos = clockNanos.getAsLong();
    return idsOf(load -> load.isSuspectedAt(nowNanos));
  }

  /**
   * Returns the heads whose silence this process found itself, to be reported to the peers.
   *
   * <p>Suspicions reported by peers are not included. If each process repeated them as its own,
   * they would circulate without end and keep callers away from replicas that serve again.
   */
  public Set<String> ownSuspectedIds() {
    long nowNanos = clockNanos.getAsLong();
    return idsOf(load -> load.isSuspectedHereAt(nowNanos));
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
   * Takes over a peer's suspicions, unless a head has moved for this process since.
   *
   * <p>They keep new requests away. Requests that are open here are sent elsewhere by the timeout
   * of this process only: if all processes did so at once, the other heads would be overloaded.
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
    boolean hasMoved =
        load.ownOpenCount() > 0 && nowNanos - load.progressNanos() < RECENT_PROGRESS_NANOS;
    // A peer that has not seen the new formation reports the silence of the former one.
    if (hasMoved || load.isSuspected() || load.isNewlyFormedAt(nowNanos)) {
      return false;
    }
    load.suspect(false, nowNanos);
    log.write("replica_suspected", "head", boxId, "by", "peer");
    return true;
  }

  /**
   * Looks for heads that stand still and has their requests sent elsewhere too.
   *
   * @return the time until the next head can have been silent for too long, or a request can be
   *     sent elsewhere, in nanoseconds; {@link Long#MAX_VALUE} if neither can be
   */
  public long findStalled() {
    long nowNanos = clockNanos.getAsLong();
    long nextNanos = Long.MAX_VALUE;
    for (UpstreamLoad load : table.loadsWithOwnRequests()) {
      for (Exchange exchange : new ArrayList<>(load.open())) {
        ModelEngine engine = exchange.engine();
        if (engine == null) {
          continue;
        }
        long limitNanos = SilenceLimit.nanos(engine, load, nowNanos);
        long leftNanos = limitNanos - (nowNanos - load.silentSinceNanos());
        if (leftNanos >= 0) {
          nextNanos = Math.min(nextNanos, leftNanos);
        } else if (stall(load, exchange, nowNanos)) {
          nextNanos = Math.min(nextNanos, MOVE_AGAIN_NANOS);
        }
      }
    }
    return nextNanos;
  }

  /** Returns true if the request could not be sent elsewhere now and may be soon. */
  private boolean stall(UpstreamLoad load, Exchange exchange, long nowNanos) {
    boolean isNew = !load.isSuspectedAt(nowNanos);
    load.suspect(true, nowNanos);
    if (isNew) {
      String headId = exchange.upstreamIdAt(load);
      log.write(
          "replica_suspected",
          "head",
          headId,
          "by",
          "silence",
          "silentMs",
          TimeUnit.NANOSECONDS.toMillis(nowNanos - load.silentSinceNanos()),
          "open",
          load.openCount(),
          "waitingTokens",
          load.waitingPromptTokens());
      onSuspicion.accept(headId);
    }
    return exchange.onSilence(load);
  }
}
