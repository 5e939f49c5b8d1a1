package org.shoreroad;

import java.util.Objects;

/**
 * One machine that runs a model engine.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the platform's name of the box, not empty
 * @param address the engine's address as {@code host:port}, not empty
 * @param fabricDomain the name of the fabric domain the box is cabled into, not empty
 * @param availabilityZone the availability zone the box stands in, not empty
 * @since 0.1
 */
public record Box(String name, String address, String fabricDomain, String availabilityZone) {
  /** Checks that no part is missing. */
  public Box {
    requireText(name, "name");
    requireText(address, "address");
    requireText(fabricDomain, "fabricDomain");
    requireText(availabilityZone, "availabilityZone");
  }

  private static void requireText(String text, String what) {
    if (Objects.requireNonNull(text, what).isEmpty()) {
      throw new IllegalArgumentException(what + " is empty");
    }
  }
}
