package org.shoreroad.quarantine;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.shoreroad.fleet.Incarnation;

/**
 * All that a process has to tell of the crashes under one request.
 *
 * <p>Reports of several processes are joined: their crashes and refutations only add up, in any
 * order and any number of times. This class is immutable and thread-safe.
 *
 * @param fingerprint the request, not null
 * @param crashes the upstreams that ended under it, not null
 * @param refuted those of them that it did not end, since it was answered in whole afterwards, not
 *     null
 * @param idleMs how long ago a crash under it, or a caller's return with it, was last known of, in
 *     milliseconds
 * @since 0.2
 */
public record CrashReport(
    RequestFingerprint fingerprint, List<Crash> crashes, Set<Incarnation> refuted, long idleMs) {
  /** Copies the collections. */
  public CrashReport {
    Objects.requireNonNull(fingerprint, "fingerprint");
    crashes = List.copyOf(crashes);
    refuted = Set.copyOf(refuted);
  }

  /** Returns true if no crash tells against the request. */
  boolean isRefuted() {
    return crashes.stream().allMatch(crash -> refuted.contains(crash.upstream()));
  }
}
