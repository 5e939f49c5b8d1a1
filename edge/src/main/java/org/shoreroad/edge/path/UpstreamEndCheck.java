package org.shoreroad.edge.path;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.forward.ForwardClient;
import org.shoreroad.edge.http.CallFailure;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.relay.EndCheck;
import org.shoreroad.fleet.FleetBox;

/**
 * Finds out by connections whether an upstream has ended.
 *
 * <p>A connection that is refused here shows the end of the upstream only if this process has a
 * path to the service; if not, another process is asked. If none has a path, all upstreams of the
 * service may have ended at once, or all processes may be cut off: their replacement on the list
 * shows an end. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class UpstreamEndCheck implements EndCheck {
  /** Time for a connection; the longest round trip between regions is below it. */
  private static final int TIMEOUT_MS = 150;

  private final HttpCalls calls;
  private final UpstreamPaths paths;
  private final ForwardClient forwards;
  private final LongSupplier clockNanos;
  private final Predicate<FleetBox> replacementCheck;
  private final Predicate<FleetBox> leavingCheck;

  /**
   * Creates a check.
   *
   * @param replacementCheck returns true if another incarnation is listed under the id of an
   *     upstream, or another upstream at its address, not null
   * @param leavingCheck returns true if an upstream has announced its end, not null
   */
  public UpstreamEndCheck(
      HttpCalls calls,
      UpstreamPaths paths,
      ForwardClient forwards,
      LongSupplier clockNanos,
      Predicate<FleetBox> replacementCheck,
      Predicate<FleetBox> leavingCheck) {
    this.calls = calls;
    this.paths = paths;
    this.forwards = forwards;
    this.clockNanos = clockNanos;
    this.replacementCheck = replacementCheck;
    this.leavingCheck = leavingCheck;
  }

  @Override
  public void check(FleetBox box, Consumer<Outcome> callback) {
    if (replacementCheck.test(box)) {
      callback.accept(Outcome.ENDED);
    } else if (leavingCheck.test(box)) {
      callback.accept(Outcome.RUNNING);
    } else {
      calls.probe(box.address(), TIMEOUT_MS, failure -> onTried(box, failure, callback));
    }
  }

  private void onTried(
      FleetBox box, CallFailure.@Nullable Reason failure, Consumer<Outcome> callback) {
    if (failure == null) {
      callback.accept(replacementCheck.test(box) ? Outcome.ENDED : Outcome.RUNNING);
    } else if (failure == CallFailure.Reason.REFUSED) {
      paths.confirm(
          box.service(), clockNanos.getAsLong(), isReached -> onRefused(box, isReached, callback));
    } else {
      askOthers(box, callback);
    }
  }

  private void onRefused(FleetBox box, boolean isReached, Consumer<Outcome> callback) {
    if (isReached) {
      callback.accept(Outcome.ENDED);
    } else {
      askOthers(box, callback);
    }
  }

  private void askOthers(FleetBox box, Consumer<Outcome> callback) {
    forwards.probe(
        box,
        outcome ->
            callback.accept(
                switch (outcome) {
                  case CONNECTED -> Outcome.RUNNING;
                  case REFUSED -> Outcome.ENDED;
                  case UNREACHED -> Outcome.UNREACHED;
                  case UNABLE -> Outcome.UNKNOWN;
                }));
  }
}
