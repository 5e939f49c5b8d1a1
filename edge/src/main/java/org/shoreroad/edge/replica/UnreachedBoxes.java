package org.shoreroad.edge.replica;

import java.util.function.Consumer;
import org.shoreroad.fleet.FleetBox;

/**
 * Finds out whether a box that does not answer this process is at fault, or the path to it. Used on
 * the event loop.
 *
 * @since 0.2
 */
public interface UnreachedBoxes {
  /** Takes each path for sound. */
  UnreachedBoxes PATHS_SOUND =
      new UnreachedBoxes() {
        @Override
        public void onNoAnswer(FleetBox box) {}

        @Override
        public void confirmRefusal(FleetBox box, Consumer<Boolean> callback) {
          callback.accept(true);
        }
      };

  /** Called when a box did not answer this process. */
  void onNoAnswer(FleetBox box);

  /**
   * Finds out whether other processes are refused too.
   *
   * @param callback called with true if the box itself refuses connections, not null
   */
  void confirmRefusal(FleetBox box, Consumer<Boolean> callback);
}
