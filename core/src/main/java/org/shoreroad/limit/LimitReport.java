package org.shoreroad.limit;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.Incarnation;

/**
 * What a process tells the others of the limit of one upstream.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param upstream the upstream, not null
 * @param limit the limit, or null if the upstream names none any more
 * @param ageMs how long ago the upstream said so, in milliseconds, 0 or more
 * @since 0.2
 */
public record LimitReport(Incarnation upstream, @Nullable RequestLimit limit, long ageMs) {
  /** Checks that the upstream is there and the age is one. */
  public LimitReport {
    Objects.requireNonNull(upstream, "upstream");
    if (ageMs < 0) {
      throw new IllegalArgumentException("an age below 0: " + ageMs);
    }
  }
}
