package org.shoreroad.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.shoreroad.http.BodyLength;

/**
 * Check of the messages that arrive on a connection against the grammar of RFC 9112.
 *
 * <p>The decoder is lenient: it cuts names of fields at blanks, reads numbers that are no status,
 * and skips bytes between chunks, so that what it returns can't be told from a sound message. The
 * bytes are therefore checked before they are decoded. Bodies are not looked at, and no bytes are
 * kept. Not thread-safe.
 *
 * @since 0.2
 */
public final class MessageSyntax {
  private final StartLineSyntax startLine;
  private final FieldLinesSyntax fields = new FieldLinesSyntax();
  private final ChunkLineSyntax chunkLine = new ChunkLineSyntax();
  private final ByteProcessor processor = this::process;
  private Part part = Part.START_LINE;
  private LineSyntax lines;
  private LineSyntax.Outcome outcome = LineSyntax.Outcome.MORE;
  private long dataBytes;
  private @Nullable SyntaxFault fault;

  private enum Part {
    START_LINE,
    FIELDS,
    BODY,
    CHUNK_LINE,
    CHUNK_DATA,
    TRAILER,
    REST,
    OVER
  }

  MessageSyntax(StartLineSyntax startLine) {
    this.startLine = startLine;
    this.lines = startLine;
  }

  /**
   * Checks bytes up to the end of the message or to the first byte that violates the grammar. After
   * the end of a message, the next one begins.
   *
   * @param bytes the bytes, whose indices are not changed
   * @return the number of bytes that are valid, which are all unless the message is over or there
   *     is a fault
   */
  public int read(ByteBuf bytes) {
    if (part == Part.OVER) {
      moveTo(Part.START_LINE, startLine);
    }
    int start = bytes.readerIndex();
    int end = bytes.writerIndex();
    int at = start;
    while (at < end && part != Part.OVER && fault == null) {
      at = isData() ? skipData(at, end) : readLines(bytes, at, end);
    }
    return at - start;
  }

  /** Returns true if the bytes that were checked last end a message. */
  public boolean isOver() {
    return part == Part.OVER;
  }

  /** Returns the violation of the grammar, or null if there is none. */
  public @Nullable SyntaxFault fault() {
    return fault;
  }

  private boolean isData() {
    return part == Part.BODY || part == Part.CHUNK_DATA || part == Part.REST;
  }

  private int skipData(int at, int end) {
    if (part == Part.REST) {
      return end;
    }
    long skipped = Math.min(dataBytes, end - at);
    dataBytes -= skipped;
    if (dataBytes == 0) {
      endData();
    }
    return at + (int) skipped;
  }

  private void endData() {
    if (part == Part.BODY) {
      part = Part.OVER;
      return;
    }
    moveTo(Part.CHUNK_LINE, chunkLine);
    chunkLine.expectEndOfData();
  }

  private int readLines(ByteBuf bytes, int at, int end) {
    int last = bytes.forEachByte(at, end - at, processor);
    if (last < 0) {
      return end;
    }
    if (outcome == LineSyntax.Outcome.FAULT) {
      fault = Objects.requireNonNull(lines.fault(), "fault");
    } else {
      endLines();
    }
    return fault == null ? last + 1 : last;
  }

  private boolean process(byte next) {
    outcome = lines.accept(next & 0xff);
    return outcome == LineSyntax.Outcome.MORE;
  }

  private void endLines() {
    switch (part) {
      case START_LINE -> moveTo(Part.FIELDS, fields);
      case FIELDS -> endHead();
      case CHUNK_LINE -> startChunk();
      default -> part = Part.OVER;
    }
  }

  private void moveTo(Part next, LineSyntax syntax) {
    part = next;
    lines = syntax;
    syntax.reset();
  }

  private void startChunk() {
    dataBytes = chunkLine.sizeBytes();
    if (dataBytes == 0) {
      moveTo(Part.TRAILER, fields);
    } else {
      part = Part.CHUNK_DATA;
    }
  }

  /** Determines the length of the body; what states no length that can be relied on is a fault. */
  private void endHead() {
    String codings = fields.codings();
    String lengths = fields.lengths();
    long length = lengths == null ? 0 : BodyLength.parse(lengths);
    if (startLine.isWithoutBody()) {
      part = Part.OVER;
    } else if (length == BodyLength.INVALID) {
      fault = SyntaxFault.LENGTH;
    } else if (codings != null) {
      endHeadOfChunks(codings);
    } else if (lengths != null || !startLine.isBodyUntilEnd()) {
      dataBytes = length;
      part = length == 0 ? Part.OVER : Part.BODY;
    } else {
      part = Part.REST;
    }
  }

  private void endHeadOfChunks(String codings) {
    // Version 1.0 has no transfer codings, so that the end of the body is unknown.
    if (startLine.minorVersion() == 0 || !BodyLength.isChunkedAlone(codings)) {
      fault = SyntaxFault.TRANSFER_CODING;
    } else {
      moveTo(Part.CHUNK_LINE, chunkLine);
    }
  }
}
