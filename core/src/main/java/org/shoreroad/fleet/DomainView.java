package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * View of the boxes of a domain during one call of {@link DomainReconciler#decide}: which are bound
 * to a replica, which are free, and which replicas are retained. The reconciler fills it while it
 * iterates over the replicas. Not thread-safe: used by one thread.
 */
final class DomainView {
  private final Map<String, ObservedBox> observedById = new HashMap<>();
  private final Set<String> boundIds = new HashSet<>();
  private final Map<String, Integer> retained = new HashMap<>();
  private final List<ObservedBox> soonFree = new ArrayList<>();
  private boolean isDissolving;
  private boolean hasLoss;

  /** Creates a view in which every fit box is free. */
  DomainView(Collection<ObservedBox> observedBoxes) {
    observedBoxes.forEach(observed -> observedById.put(observed.box().id(), observed));
  }

  Collection<ObservedBox> observedBoxes() {
    return observedById.values();
  }

  Map<String, ObservedBox> observedById() {
    return observedById;
  }

  /** Marks boxes as bound: they belong to a replica, or must not join another one yet. */
  void bind(Collection<ObservedBox> members) {
    members.forEach(member -> boundIds.add(member.box().id()));
  }

  /** Binds the boxes of a retained replica of the model, which serves or is being formed. */
  void bindRetained(Collection<ObservedBox> members, String model) {
    bind(members);
    retained.merge(model, 1, Integer::sum);
  }

  /** Adds the boxes of a replica that is being dissolved, which are free soon. */
  void addSoonFree(Collection<ObservedBox> members) {
    members.stream().filter(ObservedBox::isFit).forEach(soonFree::add);
  }

  /**
   * Records that a replica is being dissolved: its head is closed, or leaves.
   *
   * @param isLoss true if the replica has lost a member
   */
  void recordDissolving(boolean isLoss) {
    isDissolving = true;
    hasLoss = hasLoss || isLoss;
  }

  /** Returns true if a replica is being dissolved. */
  boolean isDissolving() {
    return isDissolving;
  }

  /** Returns true if a replica that is being dissolved has lost a member. */
  boolean hasLoss() {
    return hasLoss;
  }

  /** Returns the number of retained replicas of each model, including those being formed. */
  Map<String, Integer> retained() {
    return retained;
  }

  int retainedCount(String model) {
    return retained.getOrDefault(model, 0);
  }

  /** Returns the fit boxes that are not bound. */
  List<ObservedBox> free() {
    List<ObservedBox> free = new ArrayList<>();
    for (ObservedBox observed : observedById.values()) {
      if (observed.isFit() && !boundIds.contains(observed.box().id())) {
        free.add(observed);
      }
    }
    return free;
  }

  /** Returns the boxes with weights that are free, or will be when their replicas are dissolved. */
  List<ObservedBox> available() {
    List<ObservedBox> available = free();
    available.addAll(soonFree);
    available.removeIf(ObservedBox::isBlank);
    return available;
  }

  /** Returns the number of boxes that are free or will be soon, with weights or without. */
  int availableCount() {
    return free().size() + soonFree.size();
  }

  /**
   * Returns the free boxes that can join a replica of the model soonest, at most its size. Of these
   * the ones that fewest other models can use are preferred, as in {@link BoxGroups}, so that the
   * other models find the boxes on which the choice of the replicas relies.
   */
  List<ObservedBox> pickMembers(ModelShape model) {
    List<ObservedBox> free = free();
    free.sort(
        Comparator.comparingInt((ObservedBox observed) -> observed.joinCost(model))
            .thenComparingInt(ObservedBox::localModelCount)
            .thenComparing(observed -> observed.box().id()));
    return free.subList(0, Math.min(free.size(), model.boxes()));
  }

  /**
   * Returns true if there is a recent status report from every fit box. The list may lag behind the
   * engines: a head that it shows as free may be open again.
   */
  boolean isConfirmed() {
    return observedById.values().stream()
        .allMatch(observed -> !observed.isFit() || observed.isConfirmed());
  }
}
