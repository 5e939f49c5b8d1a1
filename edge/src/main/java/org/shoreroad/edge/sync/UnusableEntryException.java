package org.shoreroad.edge.sync;

import java.util.Objects;

/**
 * Thrown for an entry of the list that describes no usable upstream.
 *
 * @since 0.2
 */
public final class UnusableEntryException extends RuntimeException {
  /** Maximum length of the text in the message, in characters. The last messages are kept. */
  private static final int MAX_TEXT_LENGTH = 200;

  private static final long serialVersionUID = 1;

  private final EntryFault fault;

  /**
   * Creates an exception.
   *
   * @param fault what is wrong, not null
   * @param what the field or the text that is wrong, not null; the message contains its start
   */
  public UnusableEntryException(EntryFault fault, String what) {
    super(fault.code() + ": " + what.substring(0, Math.min(MAX_TEXT_LENGTH, what.length())));
    this.fault = Objects.requireNonNull(fault, "fault");
  }

  /** Returns what is wrong, not null. */
  public EntryFault fault() {
    return fault;
  }
}
