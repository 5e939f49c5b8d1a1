package org.shoreroad.http;

import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Grammar of field lines up to the empty line after them. Keeps the values that state the length of
 * the body.
 *
 * <p>Blanks between a name and its colon, and folded lines, are accepted: RFC 9112 has a proxy
 * remove the former and unfold the latter (sections 5.1 and 5.2), which the decoder does. A blank
 * within a name is none of these. Not thread-safe.
 */
final class FieldLinesSyntax implements LineSyntax {
  private static final byte[] LENGTH_NAME = "content-length".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] CODING_NAME = "transfer-encoding".getBytes(StandardCharsets.US_ASCII);

  /** Maximum size of the values that state the length, far above that of any in use. */
  private static final int MAX_VALUE_CHARS = 256;

  private final byte[] name = new byte[CODING_NAME.length];
  private final StringBuilder lengths = new StringBuilder();
  private final StringBuilder codings = new StringBuilder();
  private State state = State.LINE_START;
  private boolean hasField;
  private int nameLength;
  private @Nullable StringBuilder value;
  private @Nullable SyntaxFault fault;

  private enum State {
    LINE_START,
    NAME,
    AFTER_NAME,
    VALUE,
    LINE_FEED,
    LAST_LINE_FEED
  }

  @Override
  public void reset() {
    lengths.setLength(0);
    codings.setLength(0);
    state = State.LINE_START;
    hasField = false;
    value = null;
    fault = null;
  }

  @Override
  public Outcome accept(int next) {
    return switch (state) {
      case LINE_START -> acceptLineStart(next);
      case NAME -> acceptName(next);
      case AFTER_NAME -> acceptAfterName(next);
      case VALUE -> acceptValue(next);
      case LINE_FEED -> {
        state = State.LINE_START;
        yield next == '\n' ? Outcome.MORE : fail(SyntaxFault.FIELD_VALUE);
      }
      case LAST_LINE_FEED -> next == '\n' ? Outcome.END : fail(SyntaxFault.FIELD_NAME);
    };
  }

  private Outcome acceptLineStart(int next) {
    if (next == '\r') {
      state = State.LAST_LINE_FEED;
      return Outcome.MORE;
    }
    if (HttpGrammar.isBlank(next) && hasField) {
      state = State.VALUE;
      return acceptValue(next);
    }
    state = State.NAME;
    nameLength = 0;
    hasField = true;
    return next == ':' ? fail(SyntaxFault.FIELD_NAME) : acceptName(next);
  }

  private Outcome acceptName(int next) {
    if (HttpGrammar.isTokenChar(next)) {
      if (nameLength < name.length) {
        name[nameLength] = (byte) toLowerCase(next);
      }
      nameLength++;
      return Outcome.MORE;
    }
    return nameLength == 0 ? fail(SyntaxFault.FIELD_NAME) : acceptAfterName(next);
  }

  private Outcome acceptAfterName(int next) {
    if (next == ':') {
      startValue();
      return Outcome.MORE;
    }
    state = State.AFTER_NAME;
    return HttpGrammar.isBlank(next) ? Outcome.MORE : fail(SyntaxFault.FIELD_NAME);
  }

  private void startValue() {
    state = State.VALUE;
    value = isName(LENGTH_NAME) ? lengths : isName(CODING_NAME) ? codings : null;
    if (value != null && value.length() > 0) {
      // Several lines with the same name form a list.
      value.append(',');
    } else if (value != null) {
      value.append(' ');
    }
  }

  private boolean isName(byte[] expected) {
    if (nameLength != expected.length) {
      return false;
    }
    for (int i = 0; i < expected.length; i++) {
      if (name[i] != expected[i]) {
        return false;
      }
    }
    return true;
  }

  private static int toLowerCase(int letter) {
    return letter >= 'A' && letter <= 'Z' ? letter - 'A' + 'a' : letter;
  }

  private Outcome acceptValue(int next) {
    if (next == '\r') {
      state = State.LINE_FEED;
      return Outcome.MORE;
    }
    if (!HttpGrammar.isTextChar(next)) {
      return fail(SyntaxFault.FIELD_VALUE);
    }
    StringBuilder kept = value;
    if (kept != null) {
      if (kept.length() == MAX_VALUE_CHARS) {
        return fail(kept == lengths ? SyntaxFault.LENGTH : SyntaxFault.TRANSFER_CODING);
      }
      kept.append((char) next);
    }
    return Outcome.MORE;
  }

  private Outcome fail(SyntaxFault reason) {
    fault = reason;
    return Outcome.FAULT;
  }

  /** Returns all stated lengths of the body as one list, or null if there is no such field. */
  @Nullable String lengths() {
    return lengths.length() == 0 ? null : lengths.toString();
  }

  /** Returns all transfer codings as one list, or null if there is no such field. */
  @Nullable String codings() {
    return codings.length() == 0 ? null : codings.toString();
  }

  @Override
  public @Nullable SyntaxFault fault() {
    return fault;
  }
}
