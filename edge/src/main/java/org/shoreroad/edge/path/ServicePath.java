package org.shoreroad.edge.path;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Calls of this process to the upstreams of one service, and whether it has a path to them.
 *
 * <p>Not thread-safe: used on the event loop.
 */
final class ServicePath {
  private final String service;
  private final List<Consumer<Boolean>> waiting = new ArrayList<>();
  private long receivedNanos = Long.MIN_VALUE / 2;
  private long openSinceNanos;
  private long checkedNanos = Long.MIN_VALUE / 2;
  private long lostSinceNanos;
  private int openCount;
  private boolean isChecking;
  private boolean isLost;
  private boolean wasReached = true;

  ServicePath(String service) {
    this.service = service;
  }

  String service() {
    return service;
  }

  /** Records that a call to an upstream begins. */
  void recordCall(long nowNanos) {
    if (openCount == 0) {
      openSinceNanos = nowNanos;
    }
    openCount++;
  }

  /** Records that a call ends. */
  void recordEnd() {
    openCount--;
  }

  /** Records that bytes of an upstream were received. */
  void recordReceived(long nowNanos) {
    receivedNanos = nowNanos;
  }

  /** Returns true if an upstream has sent bytes since the time. */
  boolean hasReceivedSince(long sinceNanos) {
    return receivedNanos - sinceNanos > 0;
  }

  /** Returns the time for which calls have been open without a byte of any upstream. */
  long silentNanos(long nowNanos) {
    return openCount == 0 ? 0 : nowNanos - Math.max(receivedNanos, openSinceNanos);
  }

  boolean isLost() {
    return isLost;
  }

  /** Returns the time for which the path has been lost. */
  long lostNanos(long nowNanos) {
    return nowNanos - lostSinceNanos;
  }

  void markLost(long nowNanos) {
    isLost = true;
    lostSinceNanos = nowNanos;
  }

  void markRestored() {
    isLost = false;
  }

  boolean isChecking() {
    return isChecking;
  }

  /** Returns the time since the start of the last check. */
  long sinceCheckNanos(long nowNanos) {
    return nowNanos - checkedNanos;
  }

  void startCheck(long nowNanos) {
    isChecking = true;
    checkedNanos = nowNanos;
  }

  /** Ends a check and calls those that wait for it. */
  void endCheck(boolean isReached) {
    isChecking = false;
    wasReached = isReached;
    List<Consumer<Boolean>> callbacks = List.copyOf(waiting);
    waiting.clear();
    callbacks.forEach(callback -> callback.accept(isReached));
  }

  /** Returns true if the last check reached an upstream. */
  boolean wasReached() {
    return wasReached;
  }

  /** Adds a callback for the end of the current check. */
  void awaitCheck(Consumer<Boolean> callback) {
    waiting.add(callback);
  }
}
