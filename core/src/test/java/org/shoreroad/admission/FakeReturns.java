package org.shoreroad.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Returns after a fixed time. */
final class FakeReturns implements Returns {
  static final int RETRY_AFTER_MS = 400;

  final Set<Long> invited = new HashSet<>();
  final Map<Long, Integer> refusedAgesMs = new HashMap<>();
  int lastRefusedAgeMs;
  int freed;
  int lastWaitingAhead;

  @Override
  public void recordFreed(long nowNanos) {
    freed++;
  }

  @Override
  public boolean isExpected(long contentHash, long nowNanos) {
    return invited.contains(contentHash);
  }

  @Override
  public int takeCallerAgeMs(long contentHash, long nowNanos) {
    Integer ageMs = refusedAgesMs.remove(contentHash);
    return ageMs == null ? 0 : ageMs;
  }

  @Override
  public void recordRefused(long contentHash, int ageMs, int remainingMs, long nowNanos) {
    lastRefusedAgeMs = ageMs;
  }

  @Override
  public void recordReturned(long contentHash) {
    invited.remove(contentHash);
  }

  @Override
  public int invite(long contentHash, int waitingAhead, int remainingMs, long nowNanos) {
    invited.add(contentHash);
    lastWaitingAhead = waitingAhead;
    return RETRY_AFTER_MS;
  }
}
