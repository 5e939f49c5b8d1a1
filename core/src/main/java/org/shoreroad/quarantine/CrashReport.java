package org.shoreroad.quarantine;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.shoreroad.fleet.Incarnation;

/**
 * Report of the crashes of upstreams while they had one request open, sent from one process to the
 * others.
 *
 * <p>Merging reports is commutative and idempotent: crashes and refutations are only ever added, so
 * that reports may come in any order and any number of times. This class is immutable and
 * thread-safe.
 *
 * @param fingerprint the request, not null
 * @param crashes the crashes while the request was open, not null
 * @param refuted the upstreams whose crash the request didn't cause, since a complete answer to it
 *     followed, not null
 * @param idleMs the time since the last known crash, or since a caller last sent the request, in
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

  /** Returns true if every crash is refuted. */
  boolean isRefuted() {
    return crashes.stream().allMatch(crash -> refuted.contains(crash.upstream()));
  }
}
