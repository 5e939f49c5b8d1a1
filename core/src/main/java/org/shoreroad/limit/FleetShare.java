package org.shoreroad.limit;

import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.routing.Rendezvous;

/**
 * Share of one process in the requests that all processes together may send to one upstream.
 *
 * <p>A few processes hold equal shares, chosen by rendezvous hashing, so that all processes with
 * the same names compute the same holders without a message. Each holder paces its requests. Not
 * thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class FleetShare {
  private final boolean isStrict;
  private boolean isHolder;
  private @Nullable TurnPacer pacer;

  private FleetShare(boolean isStrict) {
    this.isStrict = isStrict;
  }

  /** Returns a share whose turns may be used half an interval early. */
  public static FleetShare withEarlyTurns() {
    return new FleetShare(false);
  }

  /** Returns a share whose turns are at least an interval apart. */
  public static FleetShare strict() {
    return new FleetShare(true);
  }

  /**
   * Recomputes whether this process holds a share. A share that has just been got begins with a
   * pause, since another process may have used a turn of it.
   *
   * @param self the name of this process, not null
   * @param key the key of the upstream for the hashing, not null
   * @param sharers the names of all processes that may hold a share; if empty, none does
   * @param holders the number of processes that hold a share, positive
   * @param intervalNanos the time from one turn of a holder to the next, positive
   */
  public void assign(
      String self,
      String key,
      Set<String> sharers,
      int holders,
      long intervalNanos,
      long nowNanos) {
    boolean wasHolder = isHolder;
    isHolder = !sharers.isEmpty() && Rendezvous.positionOf(self, key, sharers) < holders;
    if (pacer == null) {
      pacer = new TurnPacer(isStrict, intervalNanos, nowNanos);
    }
    pacer.setInterval(intervalNanos, nowNanos);
    if (isHolder && !wasHolder) {
      pacer.restart(nowNanos);
    }
  }

  /** Returns true if this process holds a share. */
  public boolean isHolder() {
    return isHolder;
  }

  /** Delays the next turn until the time at least. */
  public void delayUntil(long nanos) {
    if (pacer != null) {
      pacer.delayUntil(nanos);
    }
  }

  /** Returns true if a turn of this process is available now. */
  public boolean hasTurn(long nowNanos) {
    return isHolder && pacer != null && pacer.hasTurn(nowNanos);
  }

  /** Uses the available turn. */
  public void takeTurn(long nowNanos) {
    if (pacer != null) {
      pacer.take(nowNanos);
    }
  }
}
