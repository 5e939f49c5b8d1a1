package org.shoreroad.edge.relay;

import java.util.HashSet;
import java.util.Set;

/**
 * The attempts of one request so far, and how many are left. Used on the event loop only.
 *
 * <p>An attempt counts once a byte of it may have left this process.
 */
final class SendHistory {
  /** Attempts that never left this process, such as refused connections, are bounded by this. */
  private static final int MAX_UNSENT = 6;

  private final Set<String> triedIds = new HashSet<>();
  private int attemptsLeft;
  private int sent;
  private int unsent;
  private boolean mayHaveRun;

  /**
   * Sets how many upstreams the request may be sent to.
   *
   * @param maxAttempts the most upstreams, positive
   */
  void setMaxAttempts(int maxAttempts) {
    attemptsLeft = maxAttempts;
  }

  /** Notes that a byte may have left for an upstream. */
  void recordSent(String upstreamId) {
    sent++;
    attemptsLeft--;
    triedIds.add(upstreamId);
  }

  /** Notes an attempt of which nothing has left. */
  void recordUnsent(String upstreamId) {
    unsent++;
    triedIds.add(upstreamId);
  }

  /**
   * Notes that an upstream may have run the request, so that a promise of the contrary is false.
   */
  void recordMayHaveRun() {
    mayHaveRun = true;
  }

  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns true while another upstream may be sent the request. */
  boolean hasAttemptsLeft() {
    return attemptsLeft > 0;
  }

  boolean hasTooManyUnsent() {
    return unsent >= MAX_UNSENT;
  }

  int attemptsLeft() {
    return attemptsLeft;
  }

  int sent() {
    return sent;
  }

  /** Returns the ids of the upstreams that are not to be tried again. */
  Set<String> triedIds() {
    return triedIds;
  }
}
