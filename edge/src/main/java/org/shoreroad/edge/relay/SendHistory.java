package org.shoreroad.edge.relay;

import java.util.HashSet;
import java.util.Set;

/**
 * The attempts of one request so far, and the number still allowed. Used on the event loop only.
 *
 * <p>An attempt counts as sent once a byte of it may have left this process.
 */
final class SendHistory {
  /** Maximum number of attempts of which nothing was sent, such as refused connections. */
  private static final int MAX_UNSENT = 6;

  private final Set<String> triedIds = new HashSet<>();
  private int attemptsLeft;
  private int sent;
  private int unsent;
  private boolean mayHaveRun;

  /**
   * Sets the number of upstreams that the request may be sent to.
   *
   * @param maxAttempts the maximum number of upstreams, positive
   */
  void setMaxAttempts(int maxAttempts) {
    attemptsLeft = maxAttempts;
  }

  /** Records an attempt of which a byte may have left this process. */
  void recordSent(String upstreamId) {
    sent++;
    attemptsLeft--;
    triedIds.add(upstreamId);
  }

  /** Records that nothing of an attempt recorded as sent has reached the upstream. */
  void recordNotSent(String upstreamId) {
    sent--;
    attemptsLeft++;
    triedIds.remove(upstreamId);
  }

  /** Records an attempt that failed for want of a path; the upstream may be tried again. */
  void recordPathLost() {
    unsent++;
  }

  /** Records an attempt of which nothing has left this process. */
  void recordUnsent(String upstreamId) {
    unsent++;
    triedIds.add(upstreamId);
  }

  /** Records that an upstream may have run the request, so that no answer may deny it. */
  void recordMayHaveRun() {
    mayHaveRun = true;
  }

  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns true if the request may be sent to another upstream. */
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

  /** Returns the ids of the upstreams that must not be tried again. */
  Set<String> triedIds() {
    return triedIds;
  }
}
