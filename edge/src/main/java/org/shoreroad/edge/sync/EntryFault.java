package org.shoreroad.edge.sync;

import java.util.Locale;

/**
 * Why an entry of the list names no upstream to use: another writer may have put it there.
 *
 * @since 0.2
 */
public enum EntryFault {
  /** The bytes are not in the form of entries. */
  UNREADABLE,
  /** A field that every upstream writes is not there. */
  MISSING_FIELD,
  /** A field holds a value of another type. */
  WRONG_TYPE,
  /** A number or an address is out of its range. */
  OUT_OF_RANGE,
  /** A state is not one of those that are agreed on. */
  UNKNOWN_STATE,
  /** No service of that name is declared. */
  UNKNOWN_SERVICE;

  /** Returns the text form for counters and logs, such as {@code wrong_type}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
