package org.shoreroad.edge;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.shoreroad.edge.caller.CallerServer;
import org.shoreroad.edge.relay.Relay;
import org.shoreroad.edge.sync.DomainLeases;

/**
 * The stop of a process by plan: it passes its duties on, answers what comes on connections that
 * are open, and ends when nothing is left or the grace is over. Used on the event loop.
 */
final class PlannedStop {
  /**
   * Requests are taken this long after the signal to stop: the balancer needs two missed questions,
   * a second apart, to send no more; and what is taken later may not end within the grace.
   */
  private static final int TAKE_AFTER_SIGNAL_MS = 2_800;

  /** This part of the grace is left for the end itself. */
  private static final int END_MARGIN_MS = 300;

  private static final int CHECK_MS = 100;

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final int graceMs;
  private final DomainLeases leases;
  private final CallerServer callers;
  private final Relay relay;
  private boolean hasBegun;

  /**
   * Creates a stop that has not begun.
   *
   * @param graceMs the time from the signal to the end of the process at the latest, in
   *     milliseconds
   */
  PlannedStop(
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      int graceMs,
      DomainLeases leases,
      CallerServer callers,
      Relay relay) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.log = log;
    this.graceMs = graceMs;
    this.leases = leases;
    this.callers = callers;
    this.relay = relay;
  }

  /** Returns true once the process is to end. */
  boolean hasBegun() {
    return hasBegun;
  }

  /**
   * Begins, unless it has begun before.
   *
   * @param onEnd called when the process may end, not null
   */
  void begin(Runnable onEnd) {
    if (hasBegun) {
      return;
    }
    hasBegun = true;
    log.write("stop", "open", relay.openCount(), "connections", callers.connectionCount());
    leases.leave();
    callers.stopKeeping();
    loop.schedule(
        () -> {
          relay.refuseNew();
          callers.closeResting();
        },
        Math.min(TAKE_AFTER_SIGNAL_MS, graceMs / 2),
        TimeUnit.MILLISECONDS);
    long endNanos = clockNanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(graceMs - END_MARGIN_MS);
    new RepeatingTimer(loop, log).every(CHECK_MS, "stopping", () -> endIfDone(endNanos, onEnd));
  }

  private void endIfDone(long endNanos, Runnable onEnd) {
    boolean isIdle = callers.connectionCount() == 0 && relay.openCount() == 0;
    if (isIdle || clockNanos.getAsLong() - endNanos >= 0) {
      log.write("end", "open", relay.openCount());
      relay.endAll();
      log.flush();
      onEnd.run();
    }
  }
}
