package org.shoreroad.limit;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.Incarnation;

/**
 * Report of one upstream's limit that a process sends to the others.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param upstream the upstream, not null
 * @param limit the limit, or null if the upstream no longer states one
 * @param ageMs the time since the upstream stated it, in milliseconds, 0 or more
 * @since 0.2
 */
public record LimitReport(Incarnation upstream, @Nullable RequestLimit limit, long ageMs) {
  /** Checks that the upstream isn't null and the age isn't negative. */
  public LimitReport {
    Objects.requireNonNull(upstream, "upstream");
    if (ageMs < 0) {
      throw new IllegalArgumentException("age is negative: " + ageMs);
    }
  }
}
