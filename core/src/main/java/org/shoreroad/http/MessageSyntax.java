package org.shoreroad.http;

import java.nio.ByteBuffer;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Check of the messages that arrive on a connection against the grammar of RFC 9112.
 *
 * <p>Libraries that decode messages are lenient: they cut names of fields at blanks, read numbers
 * that are no status, and skip bytes between chunks, so that what they return can't be told from a
 * sound message. The bytes are therefore checked before they are decoded. Bodies are not looked at,
 * and no bytes are kept. Not thread-safe.
 *
 * @since 0.2
 */
public final class MessageSyntax {
  private final StartLineSyntax startLine;
  private final FieldLinesSyntax fields = new FieldLinesSyntax();
  private final ChunkLineSyntax chunkLine = new ChunkLineSyntax();
  private Part part = Part.START_LINE;
  private LineSyntax lines;
  private long dataBytes;
  private boolean isToHead;
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

  private MessageSyntax(StartLineSyntax startLine) {
    this.startLine = startLine;
    this.lines = startLine;
  }

  /** Creates a check of answers. */
  public static MessageSyntax ofAnswers() {
    return new MessageSyntax(new StatusLineSyntax());
  }

  /** Creates a check of requests. */
  public static MessageSyntax ofRequests() {
    return new MessageSyntax(new RequestLineSyntax());
  }

  /**
   * Expects the answer to a request.
   *
   * @param isToHead true if the request has the method HEAD, so that its answer has no body
   */
  public void expectAnswer(boolean isToHead) {
    this.isToHead = isToHead;
  }

  /**
   * Checks bytes up to the end of the message or to the first byte that violates the grammar. After
   * the end of a message, the next one begins.
   *
   * @param bytes the bytes from the position to the limit, which are not changed, not null
   * @return the number of bytes that are valid, which are all unless the message is over or there
   *     is a fault
   */
  public int read(ByteBuffer bytes) {
    if (part == Part.OVER) {
      moveTo(Part.START_LINE, startLine);
    }
    int end = bytes.limit();
    int at = bytes.position();
    while (at < end && part != Part.OVER && fault == null) {
      at = isData() ? skipData(at, end) : readLines(bytes, at, end);
    }
    return at - bytes.position();
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

  /** Returns the index after the last valid byte of the lines. */
  private int readLines(ByteBuffer bytes, int from, int end) {
    for (int at = from; at < end; at++) {
      LineSyntax.Outcome outcome = lines.accept(bytes.get(at) & 0xff);
      if (outcome == LineSyntax.Outcome.FAULT) {
        fault = Objects.requireNonNull(lines.fault(), "fault");
        return at;
      }
      if (outcome == LineSyntax.Outcome.END) {
        endLines();
        return fault == null ? at + 1 : at;
      }
    }
    return end;
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
    boolean isWithoutBody = isToHead || startLine.isWithoutBody();
    // Only one answer belongs to the request.
    isToHead = isToHead && !startLine.isFinal();
    if (isWithoutBody) {
      part = Part.OVER;
    } else if (length == BodyLength.INVALID) {
      fault = SyntaxFault.LENGTH;
    } else if (codings != null && lengths != null && startLine.isRequest()) {
      // An intermediary that goes by the length would see another request in the body.
      fault = SyntaxFault.LENGTH;
    } else if (codings != null) {
      endHeadOfChunks(codings);
    } else if (lengths != null || startLine.isRequest()) {
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
