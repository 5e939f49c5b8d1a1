package org.shoreroad.edge.sync;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;

/**
 * The model that each box last held in its incarnation. An engine reports its model only while it
 * is a member of a replica, but it can take up the model that it last held again at once. Not
 * thread-safe: used on the event loop.
 */
final class LastModels {
  private final Map<String, String> models = new HashMap<>();

  /** Records the newest state of a box. */
  void note(FleetBox box) {
    Membership membership = box.membership();
    if (box.model() != null) {
      models.put(box.id(), box.model());
    } else if (membership != null && membership.state() == MemberState.JOINING) {
      // The box may be loading another model, which it holds once it reports it.
      models.remove(box.id());
    }
  }

  /** Returns the model that the box last held, or null if it is not known. */
  @Nullable String find(String id) {
    return models.get(id);
  }

  /** Removes a box that has ended. */
  void remove(String id) {
    models.remove(id);
  }
}
