package org.shoreroad.edge.relay;

import io.netty.buffer.ByteBuf;
import java.util.function.LongSupplier;
import org.shoreroad.edge.caller.AnswerChannel;

/**
 * Passes the whole events of a stream on, each once, over all attempts of a request.
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

  /**
   * Creates a relay that has passed nothing on.
   *
   * @param arrivedNanos when the request arrived, on the steady clock
   * @param callersLastId the id of the last event that the caller has, or -1
   */
  EventRelay(
      AnswerChannel answers, LongSupplier clockNanos, long arrivedNanos, long callersLastId) {
    this.answers = answers;
    this.clockNanos = clockNanos;
    this.timing = new EventTiming(arrivedNanos);
    this.lastId = callersLastId;
  }

  /** Begins with the bytes of another upstream. */
  void restart() {
    splitter.clear();
    splitter = new EventSplitter();
  }

  /** Takes bytes; returns false if they can't be events. */
  boolean add(ByteBuf bytes) {
    return splitter.add(bytes, this::pass);
  }

  private void pass(ByteBuf event, long id) {
    if (id >= 0 && id <= lastId) {
      // The caller has it already.
      event.release();
      return;
    }
    if (id >= 0) {
      lastId = id;
    }
    timing.recordEvent(clockNanos.getAsLong());
    answers.send(event);
  }

  /** Returns when the events were passed on. */
  EventTiming timing() {
    return timing;
  }

  /** Returns the id of the last event that was passed on, or -1. */
  long lastId() {
    return lastId;
  }

  /** Returns true if the upstream stopped in the middle of an event. */
  boolean hasPartialEvent() {
    return splitter.hasPartialEvent();
  }

  void release() {
    splitter.clear();
  }
}
