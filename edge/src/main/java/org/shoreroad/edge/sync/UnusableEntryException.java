package org.shoreroad.edge.sync;

import java.util.Objects;

/**
 * Thrown for an entry of the list that describes no usable upstream.
 *
 * @since 0.2
 */
public final class UnusableEntryException extends RuntimeException {
  private static final long serialVersionUID = 1;

  private final EntryFault fault;

  /**
   * Creates an exception.
   *
   * @param fault what is wrong, not null
   * @param what the field or the text that is wrong, not null
   */
  public UnusableEntryException(EntryFault fault, String what) {
    super(fault.code() + ": " + what);
    this.fault = Objects.requireNonNull(fault, "fault");
  }

  /** Returns what is wrong, not null. */
  public EntryFault fault() {
    return fault;
  }
}
