package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Warm-up of spare boxes: each joins once a replica of which it is the only member. The replica is
 * never opened.
 *
 * <p>A box joins a replica of its last model almost at once. Without the warm-up it would first
 * load the weights from its host. Not thread-safe: used by one thread.
 */
final class SpareWarmup {
  /**
   * Maximum number of concurrent warm-ups in a domain. The other spare boxes can replace a loss.
   */
  private static final int MAX_CONCURRENT = 1;

  private final String domain;
  private final LongSupplier epochs;
  private final Map<ReplicaId, Long> sinceNanos = new HashMap<>();

  /**
   * Creates a tracker with no warm-up in progress.
   *
   * @param domain the name of the domain, not null
   * @param epochs returns a number higher than any returned before, in any process, not null
   */
  SpareWarmup(String domain, LongSupplier epochs) {
    this.domain = domain;
    this.epochs = epochs;
  }

  /** Removes the warm-ups that began before the time: they are complete or lost. */
  void forgetOlder(long beforeNanos) {
    sinceNanos.values().removeIf(since -> since < beforeNanos);
  }

  /** Returns true if the replica is a warm-up in progress, which must not be dissolved. */
  boolean isInProgress(ObservedReplica replica) {
    ObservedBox head = replica.head();
    return sinceNanos.containsKey(replica.replica())
        && head != null
        && head.isIn(replica.replica(), MemberState.JOINING);
  }

  /**
   * Returns the orders that begin warm-ups of free boxes, so that their last model becomes the one
   * that most boxes of the domain serve. A lost box most likely served that model. A spare box
   * joins in 0.2 s if it is its last model, but in 1.1 to 1.6 s if the weights are only on its
   * host.
   *
   * @param free the free boxes, not null
   * @param models the models by falling number of boxes of the domain that serve them, not null
   * @param askForReport called with a box whose state must be confirmed first, not null
   * @param nowNanos the time on the steady clock, in nanoseconds
   */
  List<BoxOrder> begin(
      List<ObservedBox> free,
      List<ModelShape> models,
      Consumer<ObservedBox> askForReport,
      long nowNanos) {
    List<BoxOrder> orders = new ArrayList<>();
    for (ObservedBox observed : free) {
      ModelShape localModel =
          models.stream().filter(m -> !observed.isCold(m)).findFirst().orElse(null);
      boolean isWanted =
          localModel != null
              && observed.box().membership() == null
              && !localModel.name().equals(observed.lastModel());
      if (!isWanted || sinceNanos.size() >= MAX_CONCURRENT) {
        continue;
      }
      if (!observed.isConfirmed()) {
        askForReport.accept(observed);
        return orders;
      }
      long epoch = epochs.getAsLong();
      ReplicaId warmupReplica = new ReplicaId(domain + "-spare-" + epoch, epoch);
      sinceNanos.put(warmupReplica, nowNanos);
      String id = observed.box().id();
      orders.add(
          BoxOrder.join(
              id, warmupReplica, localModel.name(), List.of(id), "warm-up of a spare box"));
    }
    return orders;
  }
}
