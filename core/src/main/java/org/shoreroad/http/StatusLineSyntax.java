package org.shoreroad.http;

import org.jspecify.annotations.Nullable;

/**
 * Grammar of a status line.
 *
 * <p>As RFC 9112 permits in section 4, elements may be separated by several blanks, and the reason
 * phrase may be missing. Empty lines before it are skipped. Not thread-safe.
 */
final class StatusLineSyntax implements StartLineSyntax {
  private static final int STATUS_DIGITS = 3;
  private static final int BASE = 10;
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private final VersionSyntax version = new VersionSyntax();
  private State state = State.BEFORE;
  private int status;
  private int digits;
  private @Nullable SyntaxFault fault;

  private enum State {
    BEFORE,
    VERSION,
    BEFORE_STATUS,
    STATUS,
    REASON,
    LINE_FEED
  }

  @Override
  public void reset() {
    version.reset();
    state = State.BEFORE;
    status = 0;
    digits = 0;
    fault = null;
  }

  @Override
  public Outcome accept(int next) {
    return switch (state) {
      case BEFORE -> acceptBefore(next);
      case VERSION -> acceptVersion(next);
      case BEFORE_STATUS -> HttpGrammar.isBlank(next) ? Outcome.MORE : acceptDigit(next);
      case STATUS -> acceptStatus(next);
      case REASON -> acceptReason(next);
      case LINE_FEED -> next == '\n' ? Outcome.END : fail(SyntaxFault.START_LINE);
    };
  }

  private Outcome acceptBefore(int next) {
    if (next == '\r' || next == '\n' || HttpGrammar.isBlank(next)) {
      return Outcome.MORE;
    }
    state = State.VERSION;
    return acceptVersion(next);
  }

  private Outcome acceptVersion(int next) {
    if (version.isComplete()) {
      state = State.BEFORE_STATUS;
      return HttpGrammar.isBlank(next) ? Outcome.MORE : fail(SyntaxFault.START_LINE);
    }
    return version.accept(next) ? Outcome.MORE : fail(SyntaxFault.START_LINE);
  }

  private Outcome acceptStatus(int next) {
    if (digits < STATUS_DIGITS || HttpGrammar.isDigit(next)) {
      return acceptDigit(next);
    }
    if (!HttpGrammar.isStatus(status)) {
      return fail(SyntaxFault.STATUS);
    }
    if (status == SWITCHING_PROTOCOLS) {
      return fail(SyntaxFault.UPGRADE);
    }
    if (!HttpGrammar.isBlank(next) && next != '\r') {
      return fail(SyntaxFault.STATUS);
    }
    state = State.REASON;
    return acceptReason(next);
  }

  private Outcome acceptDigit(int next) {
    state = State.STATUS;
    if (!HttpGrammar.isDigit(next) || digits == STATUS_DIGITS) {
      return fail(SyntaxFault.STATUS);
    }
    status = status * BASE + (next - '0');
    digits++;
    return Outcome.MORE;
  }

  private Outcome acceptReason(int next) {
    if (next == '\r') {
      state = State.LINE_FEED;
      return Outcome.MORE;
    }
    return HttpGrammar.isTextChar(next) ? Outcome.MORE : fail(SyntaxFault.START_LINE);
  }

  private Outcome fail(SyntaxFault reason) {
    fault = reason;
    return Outcome.FAULT;
  }

  @Override
  public int minorVersion() {
    return version.minor();
  }

  @Override
  public boolean isWithoutBody() {
    return !isFinal() || status == NO_CONTENT || status == NOT_MODIFIED;
  }

  @Override
  public boolean isFinal() {
    return HttpGrammar.isFinalStatus(status);
  }

  @Override
  public boolean isRequest() {
    return false;
  }

  @Override
  public @Nullable SyntaxFault fault() {
    return fault;
  }
}
