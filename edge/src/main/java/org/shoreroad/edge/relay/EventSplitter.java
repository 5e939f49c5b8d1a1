package org.shoreroad.edge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;

/**
 * Splits the bytes of an event stream into complete events and reads their ids.
 *
 * <p>An upstream may stop in the middle of an event. Incomplete events are never forwarded, so that
 * the stream can be resumed at another upstream. Used by one thread.
 *
 * @since 0.2
 */
final class EventSplitter {
  /**
   * Maximum size of an event, far above that of any event of a model; a stream without any end of
   * event fails here.
   */
  private static final int MAX_EVENT_BYTES = 1_048_576;

  private static final String ID_FIELD = "id:";
  private static final long NO_ID = -1;
  private static final byte LINE_FEED = '\n';

  private static final int MAX_BLANK_LINE_BYTES = 3;

  private ByteBuf partial = Unpooled.EMPTY_BUFFER;

  /** Index in the incomplete event before which no blank line begins. */
  private int scannedIndex;

  /** Receives the complete events. */
  interface Sink {
    /**
     * Receives one event.
     *
     * @param event the bytes, including the blank line at the end; the receiver releases them
     * @param id the id, or -1 if the event has no numeric id
     */
    void onEvent(ByteBuf event, long id);
  }

  /**
   * Adds bytes and passes every event that is now complete to the sink.
   *
   * @param bytes the bytes; the caller of this method releases them
   * @param sink receives the events
   * @return false if an event exceeds the maximum size; it is dropped, and the stream is unusable
   */
  boolean add(ByteBuf bytes, Sink sink) {
    ByteBuf all = bytes;
    if (partial.isReadable()) {
      all = partial.writeBytes(bytes);
    }
    int end = findEventEnd(all, all == partial ? scannedIndex : all.readerIndex());
    while (end >= 0 && end - all.readerIndex() <= MAX_EVENT_BYTES) {
      ByteBuf event = Unpooled.copiedBuffer(all.readSlice(end - all.readerIndex()));
      sink.onEvent(event, readId(event));
      end = findEventEnd(all, all.readerIndex());
    }
    boolean isTooLarge = end >= 0 || all.readableBytes() > MAX_EVENT_BYTES;
    if (isTooLarge) {
      clear();
    } else if (all == partial) {
      partial.discardReadBytes();
    } else if (all.isReadable()) {
      partial = Unpooled.buffer(all.readableBytes()).writeBytes(all);
    }
    // The last bytes may be the first ones of a blank line.
    scannedIndex = Math.max(0, partial.writerIndex() - MAX_BLANK_LINE_BYTES);
    return !isTooLarge;
  }

  /** Returns the bytes of the incomplete event. */
  int partialBytes() {
    return partial.readableBytes();
  }

  /** Returns true if the bytes so far end in the middle of an event. */
  boolean hasPartialEvent() {
    return partial.isReadable();
  }

  /** Drops an incomplete event. */
  void clear() {
    partial.release();
    partial = Unpooled.EMPTY_BUFFER;
  }

  /** Returns the index after the first blank line from an index on, or -1. */
  private static int findEventEnd(ByteBuf bytes, int fromIndex) {
    int from = fromIndex;
    while (true) {
      int lineFeed = bytes.forEachByte(from, bytes.writerIndex() - from, ByteProcessor.FIND_LF);
      if (lineFeed < 0) {
        return -1;
      }
      int next = lineFeed + 1;
      if (next < bytes.writerIndex() && bytes.getByte(next) == '\n') {
        return next + 1;
      }
      if (next + 1 < bytes.writerIndex()
          && bytes.getByte(next) == '\r'
          && bytes.getByte(next + 1) == '\n') {
        return next + 2;
      }
      from = next;
    }
  }

  /** Returns the id in the first id field of the event, or -1 if it is missing or not a number. */
  private static long readId(ByteBuf event) {
    int end = event.writerIndex();
    int lineStart = event.readerIndex();
    while (lineStart < end) {
      int lineFeed = event.indexOf(lineStart, end, LINE_FEED);
      int lineEnd = lineFeed < 0 ? end : lineFeed;
      if (isIdField(event, lineStart, lineEnd)) {
        int valueStart = lineStart + ID_FIELD.length();
        return parseId(
            event.toString(valueStart, lineEnd - valueStart, StandardCharsets.ISO_8859_1));
      }
      lineStart = lineEnd + 1;
    }
    return NO_ID;
  }

  private static long parseId(String value) {
    int start = 0;
    int end = value.endsWith("\r") ? value.length() - 1 : value.length();
    while (start < end && value.charAt(start) == ' ') {
      start++;
    }
    while (end > start && value.charAt(end - 1) == ' ') {
      end--;
    }
    return Decimals.parse(value.substring(start, end), NO_ID);
  }

  private static boolean isIdField(ByteBuf event, int lineStart, int lineEnd) {
    if (lineEnd - lineStart < ID_FIELD.length()) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length(); i++) {
      if (event.getByte(lineStart + i) != ID_FIELD.charAt(i)) {
        return false;
      }
    }
    return true;
  }
}
