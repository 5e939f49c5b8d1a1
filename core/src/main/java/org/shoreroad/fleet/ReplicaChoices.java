package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The ways to close one or two replicas of a domain.
 *
 * <p>Replicas of the same model whose boxes hold the same weights are of the same use in others, so
 * of several such choices only the first is kept. A domain has far fewer different choices than
 * pairs of replicas. All methods are pure and thread-safe.
 */
final class ReplicaChoices {
  private ReplicaChoices() {}

  /**
   * Returns the different choices of one or two replicas, in the order of the replicas.
   *
   * @param replicas the replicas that can be closed, not null
   * @param models the models that their boxes can serve, not null
   */
  static List<List<ObservedReplica>> oneOrTwoOf(
      List<ObservedReplica> replicas, List<ModelShape> models) {
    List<String> uses = replicas.stream().map(replica -> use(replica, models)).toList();
    Set<String> known = new HashSet<>();
    List<List<ObservedReplica>> choices = new ArrayList<>();
    for (int i = 0; i < replicas.size(); i++) {
      if (known.add(uses.get(i))) {
        choices.add(List.of(replicas.get(i)));
      }
      for (int j = i + 1; j < replicas.size(); j++) {
        if (known.add(uses.get(i) + "+" + uses.get(j))) {
          choices.add(List.of(replicas.get(i), replicas.get(j)));
        }
      }
    }
    return choices;
  }

  /** Returns the model of the replica and the costs of its boxes in joining one of each model. */
  private static String use(ObservedReplica replica, List<ModelShape> models) {
    StringBuilder use = new StringBuilder().append(replica.model());
    for (ObservedBox member : replica.members()) {
      use.append('/');
      models.forEach(model -> use.append(member.joinCost(model)));
    }
    return use.toString();
  }
}
