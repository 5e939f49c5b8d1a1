package org.shoreroad.fleet;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Identity of one formation of a replica. A replica with other boxes is another formation.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the replica's name, not null
 * @param epoch the number of the formation; a later formation of the same boxes has a higher one
 * @since 0.2
 */
public record ReplicaId(String name, long epoch) {
  /** Precedes the id and the address of the head in the name of a replica. */
  private static final String SEPARATOR = "|";

  /** Creates an id. */
  public ReplicaId {
    Objects.requireNonNull(name, "name");
  }

  /**
   * Returns the id of a new formation, whose name contains the id and the address of the head.
   *
   * <p>The members report the name. So a process that never observed the head in the list can still
   * ask it whether it serves, before the members join another replica.
   *
   * @param domain the fabric domain, not null
   * @param model the model, not null
   * @param epoch the number of the formation
   * @param head the head, not null
   */
  public static ReplicaId of(String domain, String model, long epoch, FleetBox head) {
    String name = domain + "-" + model + "-" + epoch;
    return new ReplicaId(name + SEPARATOR + head.id() + SEPARATOR + head.address(), epoch);
  }

  /** Returns true if the name shows that the replica was formed in the domain for the model. */
  public boolean isOf(String domain, String model) {
    return name.startsWith(domain + "-" + model + "-" + epoch + SEPARATOR);
  }

  /** Returns the id of the head, or null if the name does not contain it. */
  public @Nullable String headId() {
    int end = name.lastIndexOf(SEPARATOR);
    int begin = end < 0 ? -1 : name.lastIndexOf(SEPARATOR, end - 1);
    return begin < 0 ? null : name.substring(begin + 1, end);
  }

  /** Returns the address of the head, or null if the name does not contain it. */
  public @Nullable String headAddress() {
    return headId() == null ? null : name.substring(name.lastIndexOf(SEPARATOR) + 1);
  }

  // Explicit, because the generated methods use method handles: their first use in a process costs
  // 20 to 40 ms of CPU time, and a lookup takes 137 ns instead of 26 ns with the C1 compiler.

  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof ReplicaId id && epoch == id.epoch && name.equals(id.name);
  }

  @Override
  public int hashCode() {
    return 31 * name.hashCode() + Long.hashCode(epoch);
  }

  /** Returns the text form, such as {@code d3-m0@17}. */
  @Override
  public String toString() {
    return name + "@" + epoch;
  }
}
