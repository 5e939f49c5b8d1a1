package org.shoreroad.fleet;

import java.util.List;

/**
 * A replica that is being formed.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param replica its name and number
 * @param model the model
 * @param memberIds the ids of its boxes, the head first
 * @param startedNanos when it was begun, on the steady clock
 * @param dueNanos the expected time at which all members are ready, on that clock
 * @param limitNanos how long it may take
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
