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
 * In-memory groups of a store, which answer immediately. Partitions are assigned evenly to the
 * members of a group and are reassigned when their holder joins again, leaves or expires. Not
 * thread-safe.
 */
final class FakeGroups implements LeaseStore {
  private static final int PARTITIONS = 4;

  private final LongSupplier clockNanos;
  private final Map<String, Group> groups = new HashMap<>();
  private final Deque<Copy> copies = new ArrayDeque<>();
  private long era = 1;
  private boolean isUnavailable;
  private final Set<String> disconnectedMembers = new HashSet<>();
  private int joinCount;
  private int ownerCount;

  private static final class Group {
    private final Map<String, Long> expiryNanos = new TreeMap<>();
    private final Map<Integer, String> holders = new HashMap<>();
    private long generation;

    private Group copy(long extensionNanos) {
      Group copy = new Group();
      expiryNanos.forEach((name, expiry) -> copy.expiryNanos.put(name, expiry + extensionNanos));
      copy.holders.putAll(holders);
      copy.generation = generation;
      return copy;
    }

    private String assignedTo(int partition) {
      List<String> names = List.copyOf(expiryNanos.keySet());
      return names.get((partition + (int) generation) % names.size());
    }
  }

  /** Copy of all groups at one time. */
  private record Copy(long takenNanos, Map<String, Group> groups) {}

  FakeGroups(LongSupplier clockNanos) {
    this.clockNanos = clockNanos;
  }

  /** Makes all calls of a member fail. */
  void disconnect(String member) {
    disconnectedMembers.add(member);
  }

  /** Lets calls of a member succeed again. */
  void reconnect(String member) {
    disconnectedMembers.remove(member);
  }

  /** Saves a copy that can be restored. */
  void saveCopy() {
    copies.addLast(new Copy(clockNanos.getAsLong(), copyOf(groups, 0)));
  }

  /** Makes all calls fail, or succeed again. */
  void setUnavailable(boolean unavailable) {
    isUnavailable = unavailable;
  }

  /**
   * Restores the newest copy of at least this age, in a new era.
   *
   * @param ageNanos the minimum age of the copy, in nanoseconds
   * @param keepsRemainingTimes true if members have as much time left as they had in the copy
   */
  void restoreCopy(long ageNanos, boolean keepsRemainingTimes) {
    long nowNanos = clockNanos.getAsLong();
    while (copies.size() > 1 && copies.getLast().takenNanos() > nowNanos - ageNanos) {
      copies.removeLast();
    }
    Copy copy = copies.getLast();
    groups.clear();
    groups.putAll(copyOf(copy.groups(), keepsRemainingTimes ? nowNanos - copy.takenNanos() : 0));
    era++;
  }

  private static Map<String, Group> copyOf(Map<String, Group> groups, long extensionNanos) {
    Map<String, Group> copies = new HashMap<>();
    groups.forEach((name, group) -> copies.put(name, group.copy(extensionNanos)));
    return copies;
  }

  long era() {
    return era;
  }

  /** Returns true if all calls of a member fail. */
  boolean isDisconnected(String member) {
    return disconnectedMembers.contains(member);
  }

  private boolean fails(String member) {
    return isUnavailable || disconnectedMembers.contains(member);
  }

  /** Returns the number of calls that joined a group or renewed a membership. */
  int joinCount() {
    return joinCount;
  }

  /** Returns the number of calls that read the owner of a group. */
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
    if (fails(member)) {
      callback.onFault(StoreFault.NO_ANSWER);
      return;
    }
    Group group = group(name);
    boolean isNew = !group.expiryNanos.containsKey(member);
    group.expiryNanos.put(member, clockNanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(ttlMs));
    group.generation += isNew ? 1 : 0;
    Set<Integer> held = new HashSet<>();
    for (int partition = 0; partition < PARTITIONS; partition++) {
      boolean isAssignedToOther = !group.assignedTo(partition).equals(member);
      if (isAssignedToOther && generation >= group.generation) {
        group.holders.remove(partition, member);
      } else if (!isAssignedToOther) {
        group.holders.putIfAbsent(partition, member);
      }
      if (member.equals(group.holders.get(partition))) {
        held.add(partition);
      }
    }
    callback.onValue(new PartitionGrant(era, group.generation, held));
  }

  @Override
  public void leave(String name, String member, long generation) {
    Group group = group(name);
    if (!fails(member) && group.expiryNanos.remove(member) != null) {
      group.holders.values().removeIf(member::equals);
      group.generation++;
    }
  }

  @Override
  public void owner(String name, StoreCallback<String> callback) {
    ownerCount++;
    if (isUnavailable) {
      callback.onFault(StoreFault.NO_ANSWER);
      return;
    }
    callback.onValue(group(name).holders.getOrDefault(0, ""));
  }

  private Group group(String name) {
    Group group = groups.computeIfAbsent(name, key -> new Group());
    long nowNanos = clockNanos.getAsLong();
    if (group.expiryNanos.values().removeIf(expiry -> expiry < nowNanos)) {
      group.generation++;
    }
    group.holders.values().removeIf(holder -> !group.expiryNanos.containsKey(holder));
    return group;
  }
}
