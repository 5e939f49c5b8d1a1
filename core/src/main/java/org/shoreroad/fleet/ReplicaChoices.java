package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The ways to close one or two replicas of a domain.
 *
 * <p>Replicas of the same model whose boxes hold the same weights are of the same use in others, so
 * of several such choices only the first is kept. A domain has far fewer different choices than
 * pairs of replicas. If the boxes of a domain with many models hold many different weights, only
 * the first uses are considered. All methods are pure and thread-safe.
 */
final class ReplicaChoices {
  /** Maximum number of different uses that are considered; the pairs grow with its square. */
  private static final int MAX_USES = 24;

  private ReplicaChoices() {}

  /**
   * Returns the different choices of one or two replicas, in the order of the replicas.
   *
   * @param replicas the replicas that can be closed, the most suitable first, not null
   * @param models the models that their boxes can serve, not null
   */
  static List<List<ObservedReplica>> oneOrTwoOf(
      List<ObservedReplica> replicas, List<ModelShape> models) {
    List<ObservedReplica> considered = new ArrayList<>();
    List<Integer> uses = new ArrayList<>();
    Map<String, Integer> indexByUse = new HashMap<>();
    for (ObservedReplica replica : replicas) {
      int index = indexByUse.computeIfAbsent(use(replica, models), use -> indexByUse.size());
      if (index < MAX_USES) {
        considered.add(replica);
        uses.add(index);
      }
    }
    return choices(considered, uses);
  }

  private static List<List<ObservedReplica>> choices(
      List<ObservedReplica> replicas, List<Integer> uses) {
    boolean[] isKnown = new boolean[MAX_USES];
    boolean[][] isPairKnown = new boolean[MAX_USES][MAX_USES];
    List<List<ObservedReplica>> choices = new ArrayList<>();
    for (int i = 0; i < replicas.size(); i++) {
      int use = uses.get(i);
      if (!isKnown[use]) {
        isKnown[use] = true;
        choices.add(List.of(replicas.get(i)));
      }
      for (int j = i + 1; j < replicas.size(); j++) {
        int otherUse = uses.get(j);
        if (!isPairKnown[use][otherUse]) {
          isPairKnown[use][otherUse] = true;
          choices.add(List.of(replicas.get(i), replicas.get(j)));
        }
      }
    }
    return choices;
  }

  /**
   * Returns the model of the replica and the costs of its boxes in joining one of each model. The
   * order of its boxes makes no difference to their use.
   */
  private static String use(ObservedReplica replica, List<ModelShape> models) {
    List<String> costs = new ArrayList<>();
    for (ObservedBox member : replica.members()) {
      StringBuilder cost = new StringBuilder();
      models.forEach(model -> cost.append(member.joinCost(model)));
      costs.add(cost.toString());
    }
    Collections.sort(costs);
    return replica.model() + "/" + String.join("/", costs);
  }
}
