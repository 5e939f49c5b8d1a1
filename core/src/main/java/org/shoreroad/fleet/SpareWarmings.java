package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Spare boxes that hold a model once, alone and never opened: a box joins the model of its last
 * replica almost at once, in place of taking the weights from its host first. For one thread.
 */
final class SpareWarmings {
  /** Spare boxes of a domain that take weights at a time; the others are at hand for a loss. */
  private static final int AT_ONCE = 1;

  private final String domain;
  private final LongSupplier epochs;
  private final Map<ReplicaId, Long> sinceNanos = new HashMap<>();

  /**
   * Creates warmings of which none is under way.
   *
   * @param domain the domain's name
   * @param epochs gives a number higher than any given before
   */
  SpareWarmings(String domain, LongSupplier epochs) {
    this.domain = domain;
    this.epochs = epochs;
  }

  /** Forgets what began before the time: it is done or lost. */
  void forgetOlder(long beforeNanos) {
    sinceNanos.values().removeIf(since -> since < beforeNanos);
  }

  /** Returns true if this is a spare box that is taking weights; then it is left alone. */
  boolean isUnderWay(ObservedReplica replica) {
    BoxSight head = replica.head();
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
  List<BoxOrder> begin(List<BoxSight> free, List<ModelShape> models, long nowNanos) {
    List<BoxOrder> orders = new ArrayList<>();
    for (BoxSight sight : free) {
      ModelShape atHand = models.stream().filter(m -> !sight.isCold(m)).findFirst().orElse(null);
      boolean isWanted =
          atHand != null
              && sight.box().membership() == null
              && !atHand.name().equals(sight.lastModel());
      if (isWanted && sinceNanos.size() < AT_ONCE) {
        long epoch = epochs.getAsLong();
        ReplicaId alone = new ReplicaId(domain + "-spare-" + epoch, epoch);
        sinceNanos.put(alone, nowNanos);
        String id = sight.box().id();
        orders.add(BoxOrder.join(id, alone, atHand.name(), List.of(id), "to be warm"));
      }
    }
    return orders;
  }
}
