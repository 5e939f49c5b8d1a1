package org.shoreroad.daemon.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ProtocolException;
import java.nio.ByteBuffer;
import org.shoreroad.http.MessageSyntax;
import org.shoreroad.http.SyntaxFault;

/**
 * Stream of the bytes that a server sends, which fails at the first one that belongs to no valid
 * answer. Not thread-safe.
 */
final class AnswerInputStream extends FilterInputStream {
  private static final int END = -1;

  private final MessageSyntax syntax = MessageSyntax.ofAnswers();

  AnswerInputStream(InputStream in) {
    super(in);
  }

  @Override
  public int read() throws IOException {
    byte[] next = new byte[1];
    return read(next, 0, 1) == END ? END : next[0] & 0xff;
  }

  @Override
  public int read(byte[] bytes, int offset, int length) throws IOException {
    checkFault();
    int count = super.read(bytes, offset, length);
    if (count <= 0) {
      return count;
    }
    ByteBuffer unchecked = ByteBuffer.wrap(bytes, offset, count);
    while (unchecked.hasRemaining() && syntax.fault() == null) {
      unchecked.position(unchecked.position() + syntax.read(unchecked));
    }
    int valid = count - unchecked.remaining();
    if (valid == 0) {
      checkFault();
    }
    // Valid bytes before a violation may complete an answer; the next read fails.
    return valid;
  }

  @Override
  public long skip(long count) throws IOException {
    long skipped = 0;
    while (skipped < count && read() != END) {
      skipped++;
    }
    return skipped;
  }

  @Override
  public boolean markSupported() {
    return false;
  }

  private void checkFault() throws ProtocolException {
    SyntaxFault fault = syntax.fault();
    if (fault != null) {
      throw new ProtocolException("the received bytes are no answer: " + fault.code());
    }
  }
}
