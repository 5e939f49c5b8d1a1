package org.shoreroad.http;

import org.jspecify.annotations.Nullable;

/**
 * Grammar of the line before the data of a chunk: the size, and extensions after a semicolon. Not
 * thread-safe.
 */
final class ChunkLineSyntax implements LineSyntax {
  private static final int BASE = 16;

  private State state = State.FIRST_DIGIT;
  private long sizeBytes;
  private @Nullable SyntaxFault fault;

  private enum State {
    DATA_END,
    DATA_LINE_FEED,
    FIRST_DIGIT,
    SIZE,
    BEFORE_EXTENSION,
    EXTENSION,
    LINE_FEED
  }

  @Override
  public void reset() {
    state = State.FIRST_DIGIT;
    sizeBytes = 0;
    fault = null;
  }

  /** Expects the line break after the data of a chunk before the line of the next one. */
  void expectEndOfData() {
    state = State.DATA_END;
  }

  @Override
  public Outcome accept(int next) {
    return switch (state) {
      case DATA_END -> next == '\r' ? moveTo(State.DATA_LINE_FEED) : fail();
      case DATA_LINE_FEED -> next == '\n' ? moveTo(State.FIRST_DIGIT) : fail();
      case FIRST_DIGIT -> acceptDigit(next);
      case SIZE -> acceptSize(next);
      case BEFORE_EXTENSION -> acceptBeforeExtension(next);
      case EXTENSION -> acceptExtension(next);
      case LINE_FEED -> next == '\n' ? Outcome.END : fail();
    };
  }

  private Outcome moveTo(State next) {
    state = next;
    return Outcome.MORE;
  }

  private Outcome acceptDigit(int next) {
    int digit = Character.digit(next, BASE);
    if (digit < 0) {
      return fail();
    }
    state = State.SIZE;
    sizeBytes = sizeBytes * BASE + digit;
    return sizeBytes > Integer.MAX_VALUE ? fail() : Outcome.MORE;
  }

  private Outcome acceptSize(int next) {
    if (next == '\r') {
      return moveTo(State.LINE_FEED);
    }
    if (next == ';' || HttpGrammar.isBlank(next)) {
      return acceptBeforeExtension(next);
    }
    return acceptDigit(next);
  }

  /** Accepts blanks only if an extension follows. */
  private Outcome acceptBeforeExtension(int next) {
    state = next == ';' ? State.EXTENSION : State.BEFORE_EXTENSION;
    return next == ';' || HttpGrammar.isBlank(next) ? Outcome.MORE : fail();
  }

  private Outcome acceptExtension(int next) {
    if (next == '\r') {
      return moveTo(State.LINE_FEED);
    }
    return HttpGrammar.isTextChar(next) ? Outcome.MORE : fail();
  }

  private Outcome fail() {
    fault = SyntaxFault.CHUNK;
    return Outcome.FAULT;
  }

  /** Returns the size of the chunk's data, in bytes; 0 for the last one. */
  long sizeBytes() {
    return sizeBytes;
  }

  @Override
  public @Nullable SyntaxFault fault() {
    return fault;
  }
}
