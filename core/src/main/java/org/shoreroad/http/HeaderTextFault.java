package org.shoreroad.http;

import java.util.Locale;

/**
 * The reason why the value of a header field cannot carry a text unchanged.
 *
 * @since 0.2
 */
public enum HeaderTextFault {
  /** The text has no characters, so that the field can't be told from a missing one. */
  EMPTY,
  /** The text has a control character other than a tab, such as the end of a line. */
  CONTROL_CHARACTER,
  /** The text begins or ends with a space or a tab, which recipients remove. */
  OUTER_BLANK,
  /** The text has half of a surrogate pair, which has no form in UTF-8. */
  UNPAIRED_SURROGATE;

  /** Returns the text form for counters and logs, such as {@code outer_blank}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
