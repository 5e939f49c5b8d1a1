package org.shoreroad.http;

/** Grammar of the first line of a message, on which the length of the body depends. */
interface StartLineSyntax extends LineSyntax {
  /** Returns the minor version of a complete line, from 0 to 9. */
  int minorVersion();

  /** Returns true if the message ends with its head, whatever the fields state. */
  boolean isWithoutBody();

  /** Returns false for an informational head, which precedes the answer. */
  boolean isFinal();

  /** Returns true for a request, which has no body unless it states a length. */
  boolean isRequest();
}
