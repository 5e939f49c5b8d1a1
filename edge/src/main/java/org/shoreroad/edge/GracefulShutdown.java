package org.shoreroad.edge;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.shoreroad.edge.caller.CallerServer;
import org.shoreroad.edge.relay.Relay;
import org.shoreroad.edge.sync.DomainLeases;

/**
 * Graceful shutdown of a process: releases its leases, answers requests on open connections, and
 * ends when no request or connection is left or the grace period is over. Not thread-safe: used on
 * the event loop.
 */
final class GracefulShutdown {
  /**
   * Time after the stop signal for which new requests are accepted. The load balancer stops sending
   * after two failed readiness checks, a second apart. A request accepted later may not end within
   * the grace period.
   */
  private static final int ACCEPT_AFTER_SIGNAL_MS = 2_800;

  /** Part of the grace period that is reserved for ending the process. */
  private static final int END_MARGIN_MS = 300;

  private static final int CHECK_MS = 100;

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final int graceMs;
  private final DomainLeases leases;
  private final CallerServer callers;
  private final Relay relay;
  private final UpstreamAccess access;
  private boolean hasBegun;

  /**
   * Creates a shutdown that has not begun.
   *
   * @param graceMs the longest time from the stop signal to the end of the process, in milliseconds
   */
  GracefulShutdown(
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      int graceMs,
      DomainLeases leases,
      CallerServer callers,
      Relay relay,
      UpstreamAccess access) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.log = log;
    this.graceMs = graceMs;
    this.leases = leases;
    this.callers = callers;
    this.relay = relay;
    this.access = access;
  }

  /** Returns true once the shutdown has begun. */
  boolean hasBegun() {
    return hasBegun;
  }

  /**
   * Begins the shutdown, unless it has begun before.
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
    access.forwardServer().refuseNew();
    callers.disableKeepAlive();
    loop.schedule(
        () -> {
          relay.refuseNew();
          callers.closeIdle();
        },
        Math.min(ACCEPT_AFTER_SIGNAL_MS, graceMs / 2),
        TimeUnit.MILLISECONDS);
    long endNanos = clockNanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(graceMs - END_MARGIN_MS);
    new RepeatingTimer(loop, log).every(CHECK_MS, "stopping", () -> endIfDone(endNanos, onEnd));
  }

  private void endIfDone(long endNanos, Runnable onEnd) {
    int openCount = relay.openCount() + access.forwardServer().openCount();
    boolean isIdle = callers.connectionCount() == 0 && openCount == 0;
    if (isIdle || clockNanos.getAsLong() - endNanos >= 0) {
      log.write("end", "open", relay.openCount());
      relay.endAll();
      log.flush();
      onEnd.run();
    }
  }
}
