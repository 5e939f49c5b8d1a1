package org.shoreroad.fleet;

import java.util.Objects;

/**
 * Names one formation of a replica; another set of boxes is another formation.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the replica's name, not null
 * @param epoch the number of the formation; a later formation of the same boxes has a higher one
 * @since 0.2
 */
public record ReplicaId(String name, long epoch) {
  /** Checks that the name is there. */
  public ReplicaId {
    Objects.requireNonNull(name, "name");
  }

  /** Returns the text form, such as {@code d3-m0@17}. */
  @Override
  public String toString() {
    return name + "@" + epoch;
  }
}
