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
 * The boxes of a domain during one decision of its keeper: which of them a replica holds, which are
 * free, and what stands. It is filled while the keeper looks at one replica after the other; for
 * one thread.
 */
final class DomainView {
  private final Map<String, ObservedBox> observedById = new HashMap<>();
  private final Set<String> boundIds = new HashSet<>();
  private final Map<String, Integer> retained = new HashMap<>();
  private final List<ObservedBox> comingFree = new ArrayList<>();
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

  /** Notes that the boxes belong to a replica, or must not join another one yet. */
  void bind(Collection<ObservedBox> members) {
    members.forEach(member -> boundIds.add(member.box().id()));
  }

  /** Notes that the boxes hold, or are to hold, a replica of the model that stays. */
  void bindRetained(Collection<ObservedBox> members, String model) {
    bind(members);
    retained.merge(model, 1, Integer::sum);
  }

  /** Notes that the boxes are free once their replica is let go, in a moment. */
  void addComingFree(Collection<ObservedBox> members) {
    members.stream().filter(ObservedBox::isFit).forEach(comingFree::add);
  }

  /** Notes that a replica is being closed or let go. */
  void recordDissolving(boolean isLoss) {
    isDissolving = true;
    hasLoss = hasLoss || isLoss;
  }

  /** Returns true if a replica is being closed or let go. */
  boolean isDissolving() {
    return isDissolving;
  }

  /** Returns true if one of these has lost a member. */
  boolean hasLoss() {
    return hasLoss;
  }

  /** Returns the replicas of each model that stay, those that are formed among them. */
  Map<String, Integer> retained() {
    return retained;
  }

  int retainedCount(String model) {
    return retained.getOrDefault(model, 0);
  }

  /** Returns the fit boxes that no replica has. */
  List<ObservedBox> free() {
    List<ObservedBox> free = new ArrayList<>();
    for (ObservedBox observed : observedById.values()) {
      if (observed.isFit() && !boundIds.contains(observed.box().id())) {
        free.add(observed);
      }
    }
    return free;
  }

  /** Returns the boxes with weights that are free, or come free as their replicas are closed. */
  List<ObservedBox> available() {
    List<ObservedBox> available = free();
    available.addAll(comingFree);
    available.removeIf(ObservedBox::isBlank);
    return available;
  }

  /** Returns how many boxes are free or come free, with weights or without. */
  int availableCount() {
    return free().size() + comingFree.size();
  }

  /** Returns the free boxes that can hold the model soonest, as many as it needs if there are. */
  List<ObservedBox> pickMembers(ModelShape model) {
    List<ObservedBox> free = free();
    free.sort(
        Comparator.comparingInt((ObservedBox observed) -> observed.joinCost(model))
            .thenComparing(observed -> observed.box().id()));
    return free.subList(0, Math.min(free.size(), model.boxes()));
  }

  /**
   * Returns true if every fit box has said where it stands a moment ago. The list may lag behind
   * the engines: a head that it shows as free may be open again.
   */
  boolean isConfirmed() {
    return observedById.values().stream()
        .allMatch(observed -> !observed.isFit() || observed.isConfirmed());
  }
}
