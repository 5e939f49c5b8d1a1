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
  Formation {
    memberIds = List.copyOf(memberIds);
  }

  String headId() {
    return memberIds.get(0);
  }

  boolean isOverdue(long nowNanos) {
    return nowNanos - startedNanos > limitNanos;
  }
}
