package org.shoreroad.quarantine;

import java.util.Objects;
import org.shoreroad.fleet.Incarnation;

/**
 * Crash of an upstream while a request with a certain prompt part was about to begin there, or had
 * just begun.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param upstream the upstream, not null; after a restart it counts as another one
 * @param request the first half of the fingerprint of the request; if there were several, the
 *     smallest
 * @param ageMs the time since the crash, in milliseconds
 * @param isRefuted true if a request with the part was answered after the crash
 * @since 0.2
 */
public record PartCrash(Incarnation upstream, long request, long ageMs, boolean isRefuted) {
  /** Checks that the upstream isn't null. */
  public PartCrash {
    Objects.requireNonNull(upstream, "upstream");
  }
}
