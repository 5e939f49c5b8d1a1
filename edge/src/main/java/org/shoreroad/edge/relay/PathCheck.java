package org.shoreroad.edge.relay;

import java.util.function.Consumer;
import org.shoreroad.fleet.FleetBox;

/**
 * Finds out whether a failure at an upstream is one of the upstream, or of the path of this process
 * to all upstreams of its service. Used on the event loop.
 *
 * @since 0.2
 */
public interface PathCheck {
  /** Takes each path for sound. */
  PathCheck SOUND =
      new PathCheck() {
        @Override
        public void confirm(String service, long sinceNanos, Consumer<Boolean> callback) {
          callback.accept(true);
        }

        @Override
        public void suspect(FleetBox box) {}
      };

  /**
   * Finds out whether this process has a path to the service.
   *
   * @param sinceNanos a time on the steady clock; bytes received later prove the path
   * @param callback called with true if there is a path, now or after a check, not null
   */
  void confirm(String service, long sinceNanos, Consumer<Boolean> callback);

  /** Checks the path to an upstream that does not answer this process. */
  void suspect(FleetBox box);
}
