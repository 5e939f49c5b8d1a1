package org.shoreroad.http;

/**
 * Grammar of the version {@code HTTP/1.x}, of which later minor versions are read as 1.1. Not
 * thread-safe.
 */
final class VersionSyntax {
  private static final String MAJOR = "HTTP/1.";

  private int length;
  private int minor;

  void reset() {
    length = 0;
    minor = 0;
  }

  /** Returns true if the version may go on with this byte. */
  boolean accept(int next) {
    int index = length++;
    if (index < MAJOR.length()) {
      return next == MAJOR.charAt(index);
    }
    minor = next - '0';
    return index == MAJOR.length() && HttpGrammar.isDigit(next);
  }

  /** Returns true if the version is complete. */
  boolean isComplete() {
    return length == MAJOR.length() + 1;
  }

  /** Returns the minor version, from 0 to 9. */
  int minor() {
    return minor;
  }
}
