package org.shoreroad.http;

import java.util.Locale;

/**
 * Reason why bytes form no HTTP message.
 *
 * @since 0.2
 */
public enum SyntaxFault {
  /** The start line has not the form of a status line or a request line, or another version. */
  START_LINE,
  /** The status is not a number of three digits from 100 to 599. */
  STATUS,
  /** An upgrade of the connection, which was not asked for. */
  UPGRADE,
  /** A field line has no name, or a name that is no token. */
  FIELD_NAME,
  /** The value of a field contains a control character. */
  FIELD_VALUE,
  /** The length of the body is no number, or there are different ones. */
  LENGTH,
  /** The transfer coding is not {@code chunked} alone. */
  TRANSFER_CODING,
  /** The size of a chunk is no number, or its data does not end with it. */
  CHUNK,
  /** The library that parses messages rejected it, for example since a head is too long. */
  UNREADABLE;

  /** Returns the text form for counters and logs, such as {@code field_name}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
