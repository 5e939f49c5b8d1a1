package org.shoreroad.edge.peer;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.shoreroad.edge.http.NumericAddress;

/**
 * What a process writes of itself for the others to find it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param address where it takes heartbeats, as host and port, not null
 * @param zone its availability zone, not null
 * @since 0.2
 */
public record Announcement(String address, String zone) {
  private static final String SEPARATOR = " ";

  /** Checks that both are there. */
  public Announcement {
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
  }

  /** Returns the form in which it is written. */
  public byte[] toBytes() {
    return (address + SEPARATOR + zone).getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Returns the announcement that was written; without a zone it is the empty one.
   *
   * @throws IllegalArgumentException if the bytes are none; another writer may have put them there
   */
  public static Announcement parse(byte[] bytes) {
    String[] parts = new String(bytes, StandardCharsets.UTF_8).split(SEPARATOR, 2);
    if (!NumericAddress.isValid(parts[0])) {
      throw new IllegalArgumentException("no address: " + parts[0]);
    }
    return new Announcement(parts[0], parts.length > 1 ? parts[1] : "");
  }
}
