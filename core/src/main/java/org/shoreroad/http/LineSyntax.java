package org.shoreroad.http;

import org.jspecify.annotations.Nullable;

/** Grammar of the lines of one part of a message, checked byte by byte. Not thread-safe. */
interface LineSyntax {
  /** Outcome of a byte. */
  enum Outcome {
    /** The part goes on. */
    MORE,
    /** The byte is the last one of the part. */
    END,
    /** The byte violates the grammar. */
    FAULT
  }

  /** Forgets the part, before the next one of its kind. */
  void reset();

  /**
   * Checks the next byte.
   *
   * @param next the byte, from 0 to 255
   */
  Outcome accept(int next);

  /** Returns the violation of the grammar, or null if there is none so far. */
  @Nullable SyntaxFault fault();
}
