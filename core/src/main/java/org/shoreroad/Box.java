package org.shoreroad;

import java.util.Objects;

/**
 * A machine that runs a model engine.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the name that the platform gives the box, not empty
 * @param address the engine's address as {@code host:port}, not empty
 * @param fabricDomain the name of the fabric domain that the box is connected to, not empty
 * @param availabilityZone the name of the availability zone of the box, not empty
 * @since 0.1
 */
public record Box(String name, String address, String fabricDomain, String availabilityZone) {
  /** Checks that no component is null or empty. */
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
