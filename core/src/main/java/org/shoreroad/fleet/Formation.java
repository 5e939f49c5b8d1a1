package org.shoreroad.fleet;

import java.util.List;

/**
 * Formation of a replica in progress.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param replica the id of the replica
 * @param model the model
 * @param memberIds the ids of the members, the head first
 * @param startedNanos the start time on the steady clock
 * @param dueNanos the time at which all members are expected to be ready, on the same clock
 * @param limitNanos the time that the formation may take
 * @since 0.2
 */
record Formation(
    ReplicaId replica,
    ModelShape model,
    List<String> memberIds,
    long startedNanos,
    long dueNanos,
    long limitNanos) {
  /** Join time of a box whose last model was the same, in seconds (documented by the platform). */
  private static final double REJOIN_SECONDS = 0.2;

  /** Factor for load times before the first request (documented by the platform). */
  private static final double INITIAL_LOAD_FACTOR = 0.1;

  Formation {
    memberIds = List.copyOf(memberIds);
  }

  /**
   * Returns a formation that starts now.
   *
   * @param members the members, the head first, not null
   * @param hasTraffic true once a request was observed; loads before the first one are fast
   * @param slackNanos the time that the formation may take beyond the load time of its model
   */
  static Formation begin(
      ReplicaId replica,
      ModelShape model,
      List<ObservedBox> members,
      boolean hasTraffic,
      long slackNanos,
      long nowNanos) {
    long loads = members.stream().filter(observed -> observed.isCold(model)).count();
    double seconds = loads > 0 ? model.loadSeconds() * loads : model.warmSeconds();
    return new Formation(
        replica,
        model,
        members.stream().map(observed -> observed.box().id()).toList(),
        nowNanos,
        nowNanos + joinNanos(members, model, hasTraffic),
        (long) (seconds * 1e9) + slackNanos);
  }

  /** Returns the join time of the slowest box, in nanoseconds. */
  private static long joinNanos(List<ObservedBox> members, ModelShape model, boolean hasTraffic) {
    int cost = members.stream().mapToInt(observed -> observed.joinCost(model)).max().orElse(0);
    double seconds =
        switch (cost) {
          case 0 -> REJOIN_SECONDS;
          case 1 -> model.warmSeconds();
          default -> model.loadSeconds() * (hasTraffic ? 1 : INITIAL_LOAD_FACTOR);
        };
    return (long) (seconds * 1e9);
  }

  String headId() {
    return memberIds.get(0);
  }

  boolean isOverdue(long nowNanos) {
    return nowNanos - startedNanos > limitNanos;
  }
}
