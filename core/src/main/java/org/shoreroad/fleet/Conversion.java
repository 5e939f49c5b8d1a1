package org.shoreroad.fleet;

import java.util.List;

/**
 * A decision to close replicas so that their boxes form others.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param closed the closed replicas, not null
 * @param pressureBefore the highest pressure of any model without the conversion
 * @param pressureAfter the highest pressure of any model that is expected after it
 * @param isStrained true if the pressures follow from refused and late requests
 * @since 0.2
 */
public record Conversion(
    List<String> closed, double pressureBefore, double pressureAfter, boolean isStrained) {
  /** Creates a conversion with a copy of the list. */
  public Conversion {
    closed = List.copyOf(closed);
  }
}
