package org.shoreroad.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rumors to send, each a bounded number of times.
 *
 * <p>Not thread-safe.
 */
final class RumorBuffer {
  private final Map<String, Pending> pendingByNode = new HashMap<>();

  private record Pending(Rumor rumor, int sendsLeft) {}

  /** Adds a rumor and removes an earlier one about the same process. */
  void put(Rumor rumor, int sends) {
    pendingByNode.put(rumor.nodeId(), new Pending(rumor, sends));
  }

  /** Removes the rumors about all processes but the given ones. */
  void retain(Collection<String> nodeIds) {
    pendingByNode.keySet().retainAll(nodeIds);
  }

  /** Returns the rumors with the most sends left and reduces their sends left by one. */
  List<Rumor> take(int max) {
    List<Pending> chosen =
        pendingByNode.values().stream()
            .sorted(
                Comparator.comparingInt(Pending::sendsLeft)
                    .reversed()
                    .thenComparing(pending -> pending.rumor().nodeId()))
            .limit(max)
            .toList();
    List<Rumor> rumors = new ArrayList<>();
    for (Pending pending : chosen) {
      rumors.add(pending.rumor());
      if (pending.sendsLeft() > 1) {
        pendingByNode.put(
            pending.rumor().nodeId(), new Pending(pending.rumor(), pending.sendsLeft() - 1));
      } else {
        pendingByNode.remove(pending.rumor().nodeId());
      }
    }
    return rumors;
  }
}
