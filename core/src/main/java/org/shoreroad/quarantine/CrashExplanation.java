package org.shoreroad.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.shoreroad.fleet.Incarnation;

/**
 * Finds the prompt parts that explain a series of crashes.
 *
 * <p>Harmless parts are carried by requests that are open at the same crashes. Three rules tell
 * them from the cause:
 *
 * <ul>
 *   <li>A crash under a part that is quarantined counts against no other part.
 *   <li>Of two parts with common crashes the one with more crashes is the cause; many at the same
 *       time count as one. With equally many there is none until the next crash.
 *   <li>Parts with exactly the same crashes can't be told apart. Only requests that carry all of
 *       them are refused, so that others show which one is harmless.
 * </ul>
 *
 * <p>All methods are pure but for the marks of the histories; confined to one thread.
 */
final class CrashExplanation {
  /** Separate crashes that a cause needs; fewer may come from one event, such as a power loss. */
  private static final int MIN_SEPARATE = 3;

  private CrashExplanation() {}

  /** Parts with the same crashes. */
  private record Group(List<PartHistory> histories, Set<Incarnation> crashes) {
    private boolean isQuarantined() {
      return histories.stream().allMatch(PartHistory::isQuarantined);
    }

    private Set<Incarnation> without(Set<Incarnation> explained) {
      Set<Incarnation> rest = new HashSet<>(crashes);
      rest.removeAll(explained);
      return rest;
    }

    /** Returns how many of these crashes count in the comparison with other groups. */
    private int countApart(Set<Incarnation> evidence) {
      return histories.get(0).countApart(evidence);
    }

    private boolean isSufficient(Set<Incarnation> evidence) {
      return histories.stream()
          .allMatch(
              history ->
                  history.weightOf(evidence) >= PartQuarantine.QUARANTINE_CRASHES
                      && history.countSeparate(evidence) >= MIN_SEPARATE);
    }

    private Set<PromptPart> parts() {
      Set<PromptPart> parts = new HashSet<>();
      histories.forEach(history -> parts.add(history.part()));
      return parts;
    }
  }

  /**
   * Returns the groups of parts whose requests crash upstreams, and marks them as quarantined.
   *
   * @param settleNanos the least age of a crash that counts, so that the reports of all processes
   *     on it have arrived
   * @param isBeingWritten true for a part of a request whose answer an upstream has been writing
   *     for some time; such a part is not taken for a cause now
   */
  static List<Set<PromptPart>> find(
      Collection<PartHistory> histories,
      long settleNanos,
      Predicate<PromptPart> isBeingWritten,
      long nowNanos) {
    List<Group> groups = new ArrayList<>();
    groups.addAll(groups(histories, history -> history.isQuarantined(), 0, nowNanos));
    groups.addAll(
        groups(
            histories,
            history -> !history.isQuarantined() && !isBeingWritten.test(history.part()),
            settleNanos,
            nowNanos));
    Set<Incarnation> explained = new HashSet<>();
    List<Set<PromptPart>> found = new ArrayList<>();
    for (Group group : groups) {
      Set<Incarnation> evidence = group.without(explained);
      boolean isCause =
          group.isQuarantined()
              ? !evidence.isEmpty()
              : group.isSufficient(evidence) && !hasRival(group, evidence, groups, explained);
      if (isCause) {
        explained.addAll(group.crashes());
        found.add(group.parts());
        for (PartHistory history : group.histories()) {
          if (!history.isQuarantined()) {
            history.mark(nowNanos);
          }
        }
      }
    }
    return found;
  }

  /** Returns the groups of some histories that may be causes, those with most crashes first. */
  private static List<Group> groups(
      Collection<PartHistory> histories,
      Predicate<PartHistory> condition,
      long minAgeNanos,
      long nowNanos) {
    Map<Set<Incarnation>, Group> byCrashes = new HashMap<>();
    for (PartHistory history : histories) {
      Set<Incarnation> crashes =
          condition.test(history) ? history.settledCrashes(minAgeNanos, nowNanos) : Set.of();
      if (crashes.size() >= PartQuarantine.QUARANTINE_CRASHES) {
        byCrashes
            .computeIfAbsent(crashes, added -> new Group(new ArrayList<>(), crashes))
            .histories()
            .add(history);
      }
    }
    List<Group> groups = new ArrayList<>(byCrashes.values());
    groups.sort(Comparator.comparingInt((Group group) -> -group.countApart(group.crashes())));
    return groups;
  }

  private static boolean hasRival(
      Group group, Set<Incarnation> evidence, List<Group> groups, Set<Incarnation> explained) {
    for (Group other : groups) {
      if (other != group) {
        Set<Incarnation> rest = other.without(explained);
        boolean overlaps = rest.stream().anyMatch(evidence::contains);
        if (overlaps && other.countApart(rest) >= group.countApart(evidence)) {
          return true;
        }
      }
    }
    return false;
  }
}
