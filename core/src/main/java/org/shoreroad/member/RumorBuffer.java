package org.shoreroad.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The rumors that still have to be passed on, each a bounded number of times.
 *
 * <p>Not thread-safe.
 */
final class RumorBuffer {
  private final Map<String, Posted> postedByNode = new HashMap<>();

  private record Posted(Rumor rumor, int sendsLeft) {}

  /** Posts a rumor in place of an earlier one of the same process. */
  void put(Rumor rumor, int sends) {
    postedByNode.put(rumor.nodeId(), new Posted(rumor, sends));
  }

  /** Drops the rumors of processes that no longer exist. */
  void retain(Collection<String> nodeIds) {
    postedByNode.keySet().retainAll(nodeIds);
  }

  /** Returns the rumors that were passed on least, and counts them as passed on once more. */
  List<Rumor> take(int max) {
    List<Posted> chosen =
        postedByNode.values().stream()
            .sorted(
                Comparator.comparingInt(Posted::sendsLeft)
                    .reversed()
                    .thenComparing(p -> p.rumor().nodeId()))
            .limit(max)
            .toList();
    List<Rumor> rumors = new ArrayList<>();
    for (Posted posted : chosen) {
      rumors.add(posted.rumor());
      if (posted.sendsLeft() > 1) {
        postedByNode.put(
            posted.rumor().nodeId(), new Posted(posted.rumor(), posted.sendsLeft() - 1));
      } else {
        postedByNode.remove(posted.rumor().nodeId());
      }
    }
    return rumors;
  }
}
