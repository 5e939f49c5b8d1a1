package org.shoreroad.edge.peer;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.shoreroad.edge.http.NumericAddress;

/**
 * Record that a process writes to the store so that the other processes find it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param address the address for heartbeats, as host and port, not null
 * @param zone the availability zone of the process, not null
 * @since 0.2
 */
public record Announcement(String address, String zone) {
  private static final String SEPARATOR = " ";

  /** Maximum length of a zone in a record, in characters. */
  private static final int MAX_ZONE_LENGTH = 1_024;

  /** Checks that no component is null. */
  public Announcement {
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(zone, "zone");
  }

  /** Returns the stored form: address and zone, separated by a space. */
  public byte[] toBytes() {
    return (address + SEPARATOR + zone).getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Parses the stored form; the zone is empty if it is missing.
   *
   * @throws IllegalArgumentException if the bytes contain no valid address, or a zone of more than
   *     1,024 characters; other writers may have written to the topic
   */
  public static Announcement parse(byte[] bytes) {
    String[] parts = new String(bytes, StandardCharsets.UTF_8).split(SEPARATOR, 2);
    if (!NumericAddress.isValid(parts[0])) {
      throw new IllegalArgumentException("no address: " + parts[0]);
    }
    String zone = parts.length > 1 ? parts[1] : "";
    if (zone.length() > MAX_ZONE_LENGTH) {
      throw new IllegalArgumentException("zone of " + zone.length() + " characters");
    }
    return new Announcement(parts[0], zone);
  }
}
