package org.shoreroad.edge;

import org.shoreroad.edge.caller.HeldBytes;
import org.shoreroad.edge.caller.HeldBytesRule;
import org.shoreroad.edge.relay.RelayCounters;

/**
 * Log lines and counters for callers that are ended because they do not read, and for requests that
 * are refused for lack of memory. Used on the event loop.
 *
 * @since 0.2
 */
final class HeldBytesLog implements HeldBytes.Listener {
  private final EventLog log;
  private final RelayCounters counters;

  HeldBytesLog(EventLog log, RelayCounters counters) {
    this.log = log;
    this.counters = counters;
  }

  @Override
  public void onEnded(HeldBytesRule.Reason reason, long heldBytes, long unreadMs) {
    counters.count("shoreroad.callers.ended", reason.code());
    log.write(
        "caller_ended", "reason", reason.code(), "heldBytes", heldBytes, "unreadMs", unreadMs);
  }

  @Override
  public void onRefused() {
    counters.count("shoreroad.refusals", "memory_full");
    log.write("request_refused", "reason", "memory_full");
  }
}
