package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Warm-up of spare boxes: each joins a replica of its own once, which is never opened.
 *
 * <p>A box joins a replica of the model that it held last almost at once. Without the warm-up it
 * would first take the weights from its host. Used by one thread.
 */
final class SpareWarmup {
  /** Spare boxes of a domain that take weights at a time; the others are at hand for a loss. */
  private static final int AT_ONCE = 1;

  private final String domain;
  private final LongSupplier epochs;
  private final Map<ReplicaId, Long> sinceNanos = new HashMap<>();

  /**
   * Creates a tracker with no warm-up in progress.
   *
   * @param domain the domain's name
   * @param epochs gives a number higher than any given before
   */
  SpareWarmup(String domain, LongSupplier epochs) {
    this.domain = domain;
    this.epochs = epochs;
  }

  /** Forgets what began before the time: it is done or lost. */
  void forgetOlder(long beforeNanos) {
    sinceNanos.values().removeIf(since -> since < beforeNanos);
  }

  /** Returns true if this is a spare box that is taking weights; then it is left alone. */
  boolean isUnderWay(ObservedReplica replica) {
    ObservedBox head = replica.head();
    return sinceNanos.containsKey(replica.replica())
        && head != null
        && head.isIn(replica.replica(), MemberState.JOINING);
  }

  /**
   * Returns the orders to free boxes that did not hold the model last that most boxes of the domain
   * serve. A lost box most likely belongs to that model, and a spare that held it last joins in 0.2
   * s, one that has it on its host only in 1.1 to 1.6 s.
   *
   * @param free the boxes that no replica has
   * @param models the models, the one that most boxes of the domain serve first
   * @param nowNanos the steady clock
   */
  List<BoxOrder> begin(List<ObservedBox> free, List<ModelShape> models, long nowNanos) {
    List<BoxOrder> orders = new ArrayList<>();
    for (ObservedBox observed : free) {
      ModelShape atHand = models.stream().filter(m -> !observed.isCold(m)).findFirst().orElse(null);
      boolean isWanted =
          atHand != null
              && observed.box().membership() == null
              && !atHand.name().equals(observed.lastModel());
      if (isWanted && sinceNanos.size() < AT_ONCE) {
        long epoch = epochs.getAsLong();
        ReplicaId alone = new ReplicaId(domain + "-spare-" + epoch, epoch);
        sinceNanos.put(alone, nowNanos);
        String id = observed.box().id();
        orders.add(BoxOrder.join(id, alone, atHand.name(), List.of(id), "to be warm"));
      }
    }
    return orders;
  }
}
