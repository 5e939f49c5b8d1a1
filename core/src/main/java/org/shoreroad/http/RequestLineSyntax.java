package org.shoreroad.http;

import org.jspecify.annotations.Nullable;

/**
 * Grammar of a request line.
 *
 * <p>As RFC 9112 permits in section 3, elements may be separated by several blanks. Empty lines
 * before it are skipped. Not thread-safe.
 */
final class RequestLineSyntax implements StartLineSyntax {
  private final VersionSyntax version = new VersionSyntax();
  private State state = State.BEFORE;
  private @Nullable SyntaxFault fault;

  private enum State {
    BEFORE,
    METHOD,
    BEFORE_TARGET,
    TARGET,
    BEFORE_VERSION,
    VERSION,
    LINE_FEED
  }

  @Override
  public void reset() {
    version.reset();
    state = State.BEFORE;
    fault = null;
  }

  @Override
  public Outcome accept(int next) {
    boolean isBlank = HttpGrammar.isBlank(next);
    return switch (state) {
      case BEFORE -> next == '\r' || next == '\n' || isBlank ? Outcome.MORE : acceptMethod(next);
      case METHOD -> isBlank ? moveTo(State.BEFORE_TARGET) : acceptMethod(next);
      case BEFORE_TARGET -> isBlank ? Outcome.MORE : acceptTarget(next);
      case TARGET -> isBlank ? moveTo(State.BEFORE_VERSION) : acceptTarget(next);
      case BEFORE_VERSION -> isBlank ? Outcome.MORE : acceptVersion(next);
      case VERSION -> acceptVersion(next);
      case LINE_FEED -> next == '\n' ? Outcome.END : fail();
    };
  }

  private Outcome moveTo(State next) {
    state = next;
    return Outcome.MORE;
  }

  private Outcome acceptMethod(int next) {
    state = State.METHOD;
    return HttpGrammar.isTokenChar(next) ? Outcome.MORE : fail();
  }

  private Outcome acceptTarget(int next) {
    state = State.TARGET;
    return HttpGrammar.isTextChar(next) ? Outcome.MORE : fail();
  }

  private Outcome acceptVersion(int next) {
    state = State.VERSION;
    if (!version.isComplete()) {
      return version.accept(next) ? Outcome.MORE : fail();
    }
    if (next == '\r') {
      return moveTo(State.LINE_FEED);
    }
    return HttpGrammar.isBlank(next) ? Outcome.MORE : fail();
  }

  private Outcome fail() {
    fault = SyntaxFault.START_LINE;
    return Outcome.FAULT;
  }

  @Override
  public int minorVersion() {
    return version.minor();
  }

  @Override
  public boolean isWithoutBody() {
    return false;
  }

  @Override
  public boolean isFinal() {
    return true;
  }

  @Override
  public boolean isRequest() {
    return true;
  }

  @Override
  public @Nullable SyntaxFault fault() {
    return fault;
  }
}
