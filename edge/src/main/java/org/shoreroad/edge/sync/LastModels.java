package org.shoreroad.edge.sync;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;

/**
 * The model that each box held last in its incarnation. An engine names its model only while it is
 * a member of a replica; what it held last, it takes up at once. Used on the event loop.
 */
final class LastModels {
  private final Map<String, String> models = new HashMap<>();

  /** Takes note of the newest state of a box. */
  void note(FleetBox box) {
    Membership membership = box.membership();
    if (box.model() != null) {
      models.put(box.id(), box.model());
    } else if (membership != null && membership.state() == MemberState.JOINING) {
      // Another model may be on its way; it is not held before it is named.
      models.remove(box.id());
    }
  }

  /** Returns the model that the box held last, or null if it is not known. */
  @Nullable String find(String id) {
    return models.get(id);
  }

  /** Forgets a box that is over. */
  void forget(String id) {
    models.remove(id);
  }
}
