package org.shoreroad.edge.sync;

import java.util.Locale;

/**
 * The reason why an entry of the list is unusable, for example because another program wrote it.
 *
 * @since 0.2
 */
public enum EntryFault {
  /** The bytes are not in the format of entries. */
  UNREADABLE,
  /** A field that every upstream writes is missing. */
  MISSING_FIELD,
  /** A field holds a value of another type. */
  WRONG_TYPE,
  /** A number or an address is out of its range. */
  OUT_OF_RANGE,
  /** The id can't be carried by a header, so that no request could name the upstream. */
  INVALID_ID,
  /** A state is not one of the defined ones. */
  UNKNOWN_STATE,
  /** No service of that name is declared. */
  UNKNOWN_SERVICE;

  /** Returns the text form for counters and logs, such as {@code wrong_type}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
