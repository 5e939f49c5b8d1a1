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
        public void explainSilence(FleetBox box, long sinceNanos, Consumer<Cause> callback) {
          callback.accept(Cause.SILENT);
        }

        @Override
        public void explainRefusal(FleetBox box, Consumer<Cause> callback) {
          callback.accept(Cause.GONE);
        }
      };

  /** Why a box does not answer. */
  enum Cause {
    /** This process has no path to the box, which is no evidence against it. */
    PATH,
    /** The path is sound, but the box does not answer. */
    SILENT,
    /** No process listens at its address. */
    GONE
  }

  /**
   * Explains a question without an answer.
   *
   * @param sinceNanos when the question was sent, on the steady clock
   * @param callback called with the cause, now or after a check, not null
   */
  void explainSilence(FleetBox box, long sinceNanos, Consumer<Cause> callback);

  /**
   * Explains a refused connection to a box that is listed and not leaving.
   *
   * @param callback called with the cause, now or after a check, not null
   */
  void explainRefusal(FleetBox box, Consumer<Cause> callback);
}
