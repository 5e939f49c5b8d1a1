package org.shoreroad.quarantine;

import java.util.List;
import java.util.Objects;

/**
 * Report of the crashes under one prompt part, sent from one process to the others.
 *
 * <p>Merging reports is commutative and idempotent, so that reports may come in any order and any
 * number of times. This class is immutable and thread-safe.
 *
 * @param part the part, not null
 * @param crashes the crashes, not null
 * @param isQuarantined true if the sender sends no requests with this part to upstreams
 * @param idleMs the time since the last crash, in milliseconds
 * @since 0.2
 */
public record PartReport(
    PromptPart part, List<PartCrash> crashes, boolean isQuarantined, long idleMs) {
  /** Copies the crashes. */
  public PartReport {
    Objects.requireNonNull(part, "part");
    crashes = List.copyOf(crashes);
  }

  /** Returns the same report some milliseconds later. */
  public PartReport agedBy(long elapsedMs) {
    List<PartCrash> aged =
        crashes.stream()
            .map(
                crash ->
                    new PartCrash(
                        crash.upstream(),
                        crash.request(),
                        crash.ageMs() + elapsedMs,
                        crash.isRefuted()))
            .toList();
    return new PartReport(part, aged, isQuarantined, idleMs + elapsedMs);
  }
}
