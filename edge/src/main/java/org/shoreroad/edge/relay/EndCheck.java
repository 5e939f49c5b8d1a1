package org.shoreroad.edge.relay;

import java.util.function.Consumer;
import org.shoreroad.fleet.FleetBox;

/**
 * Finds out whether an upstream has ended. Used on the event loop.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface EndCheck {
  /** Takes each upstream for ended at which a request was broken off. */
  EndCheck ASSUME_ENDED = (box, callback) -> callback.accept(Outcome.ENDED);

  /** What a check has found. */
  enum Outcome {
    /** The process of the upstream has ended without notice. */
    ENDED,
    /** The process runs, or its end was planned. */
    RUNNING,
    /** No connection to it is established, neither from here nor from another process. */
    UNREACHED,
    /** No process has a path on which the upstream could be tried. */
    UNKNOWN
  }

  /**
   * Checks an upstream.
   *
   * @param box the incarnation to check, not null
   * @param callback called with the outcome, now or later, not null
   */
  void check(FleetBox box, Consumer<Outcome> callback);
}
