package org.shoreroad.edge.sync;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The groups of a store in memory, which answers at once: partitions are dealt evenly among the
 * members of a group, and pass on when their holder joins again, leaves or falls silent. Used by
 * one thread.
 */
final class FakeGroups implements LeaseStore {
  private static final int PARTITIONS = 4;

  private final LongSupplier clockNanos;
  private final Map<String, Group> groups = new HashMap<>();
  private final Deque<Copy> copies = new ArrayDeque<>();
  private long era = 1;
  private boolean isAway;
  private final Set<String> cutMembers = new HashSet<>();
  private int joinCount;
  private int ownerCount;

  private static final class Group {
    private final Map<String, Long> untilNanos = new TreeMap<>();
    private final Map<Integer, String> holders = new HashMap<>();
    private long generation;

    private Group copy(long laterNanos) {
      Group copy = new Group();
      untilNanos.forEach((name, until) -> copy.untilNanos.put(name, until + laterNanos));
      copy.holders.putAll(holders);
      copy.generation = generation;
      return copy;
    }

    private String dealtTo(int part) {
      List<String> names = List.copyOf(untilNanos.keySet());
      return names.get((part + (int) generation) % names.size());
    }
  }

  /** All groups at one time. */
  private record Copy(long takenNanos, Map<String, Group> groups) {}

  FakeGroups(LongSupplier clockNanos) {
    this.clockNanos = clockNanos;
  }

  /** Loses all calls of a member. */
  void disconnect(String member) {
    cutMembers.add(member);
  }

  /** Takes calls of a member again. */
  void reconnect(String member) {
    cutMembers.remove(member);
  }

  /** Keeps a copy, from which the store may come back. */
  void saveCopy() {
    copies.addLast(new Copy(clockNanos.getAsLong(), copyOf(groups, 0)));
  }

  /** Answers nobody, or answers again. */
  void setUnavailable(boolean away) {
    isAway = away;
  }

  /**
   * Comes back from the newest copy of at least this age, in a new era.
   *
   * @param doTimesWait true if members have as much time left as they had in the copy
   */
  void restoreCopy(long ageNanos, boolean doTimesWait) {
    long nowNanos = clockNanos.getAsLong();
    while (copies.size() > 1 && copies.getLast().takenNanos() > nowNanos - ageNanos) {
      copies.removeLast();
    }
    Copy copy = copies.getLast();
    groups.clear();
    groups.putAll(copyOf(copy.groups(), doTimesWait ? nowNanos - copy.takenNanos() : 0));
    era++;
  }

  private static Map<String, Group> copyOf(Map<String, Group> groups, long laterNanos) {
    Map<String, Group> copies = new HashMap<>();
    groups.forEach((name, group) -> copies.put(name, group.copy(laterNanos)));
    return copies;
  }

  long era() {
    return era;
  }

  /** Returns true if all calls of a member are lost. */
  boolean isDisconnected(String member) {
    return cutMembers.contains(member);
  }

  private boolean isLost(String member) {
    return isAway || cutMembers.contains(member);
  }

  /** Returns how many calls joined a group or stayed in it. */
  int joinCount() {
    return joinCount;
  }

  /** Returns how many calls asked who owns a group. */
  int ownerCount() {
    return ownerCount;
  }

  @Override
  public void join(
      String name,
      String member,
      int ttlMs,
      long generation,
      StoreCallback<PartitionGrant> callback) {
    joinCount++;
    if (isLost(member)) {
      callback.onFault(StoreFault.NO_ANSWER);
      return;
    }
    Group group = group(name);
    boolean isNew = !group.untilNanos.containsKey(member);
    group.untilNanos.put(member, clockNanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(ttlMs));
    group.generation += isNew ? 1 : 0;
    Set<Integer> held = new HashSet<>();
    for (int part = 0; part < PARTITIONS; part++) {
      boolean isOthers = !group.dealtTo(part).equals(member);
      if (isOthers && generation >= group.generation) {
        group.holders.remove(part, member);
      } else if (!isOthers) {
        group.holders.putIfAbsent(part, member);
      }
      if (member.equals(group.holders.get(part))) {
        held.add(part);
      }
    }
    callback.onValue(new PartitionGrant(era, group.generation, held));
  }

  @Override
  public void leave(String name, String member, long generation) {
    Group group = group(name);
    if (!isLost(member) && group.untilNanos.remove(member) != null) {
      group.holders.values().removeIf(member::equals);
      group.generation++;
    }
  }

  @Override
  public void owner(String name, StoreCallback<String> callback) {
    ownerCount++;
    if (isAway) {
      callback.onFault(StoreFault.NO_ANSWER);
      return;
    }
    callback.onValue(group(name).holders.getOrDefault(0, ""));
  }

  private Group group(String name) {
    Group group = groups.computeIfAbsent(name, key -> new Group());
    long nowNanos = clockNanos.getAsLong();
    if (group.untilNanos.values().removeIf(until -> until < nowNanos)) {
      group.generation++;
    }
    group.holders.values().removeIf(holder -> !group.untilNanos.containsKey(holder));
    return group;
  }
}
