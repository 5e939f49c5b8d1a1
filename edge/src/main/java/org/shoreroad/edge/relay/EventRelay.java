package org.shoreroad.edge.relay;

import io.netty.buffer.ByteBuf;
import java.util.function.LongSupplier;
import org.shoreroad.edge.caller.AnswerChannel;

/**
 * Forwards the complete events of a stream to the caller, each once over all attempts of a request.
 *
 * <p>Used on the event loop only.
 *
 * @since 0.2
 */
final class EventRelay {
  private final AnswerChannel answers;
  private final LongSupplier clockNanos;
  private final EventTiming timing;
  private EventSplitter splitter = new EventSplitter();
  private long lastId;
  private long completedCount;

  /**
   * Creates a relay that has forwarded no events.
   *
   * @param arrivedNanos when the request arrived, on the steady clock
   * @param lastReceivedId the id of the last event that the caller has received, or -1
   */
  EventRelay(
      AnswerChannel answers, LongSupplier clockNanos, long arrivedNanos, long lastReceivedId) {
    this.answers = answers;
    this.clockNanos = clockNanos;
    this.timing = new EventTiming(arrivedNanos);
    this.lastId = lastReceivedId;
  }

  /** Starts the stream of another upstream; drops an incomplete event of the former one. */
  void restart() {
    release();
    splitter = new EventSplitter();
  }

  /** Returns the number of events, of all upstreams, that were received to their end. */
  long completedCount() {
    return completedCount;
  }

  /** Adds bytes and forwards complete events; returns false if an incomplete event is too large. */
  boolean add(ByteBuf bytes) {
    int formerBytes = splitter.partialBytes();
    boolean isAccepted = splitter.add(bytes, this::forward);
    answers.addCollected(splitter.partialBytes() - formerBytes);
    return isAccepted;
  }

  private void forward(ByteBuf event, long id) {
    completedCount++;
    if (id >= 0 && id <= lastId) {
      // The caller already has this event.
      event.release();
      return;
    }
    if (id >= 0) {
      lastId = id;
    }
    timing.recordEvent(clockNanos.getAsLong());
    answers.send(event);
  }

  /** Returns the times at which events were forwarded. */
  EventTiming timing() {
    return timing;
  }

  /** Returns the id of the last event that was forwarded, or -1. */
  long lastId() {
    return lastId;
  }

  /** Returns true if the bytes so far end in the middle of an event. */
  boolean hasPartialEvent() {
    return splitter.hasPartialEvent();
  }

  void release() {
    answers.addCollected(-splitter.partialBytes());
    splitter.clear();
  }
}
