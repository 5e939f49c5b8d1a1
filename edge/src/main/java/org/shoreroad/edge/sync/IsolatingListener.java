package org.shoreroad.edge.sync;

import java.util.Set;
import org.shoreroad.edge.EventLog;

/**
 * Listener that passes records on to another listener and catches its failures, so that a failure
 * at one record does not affect the records after it.
 *
 * <p>Other writers write to the topics, so a record may cause a failure that no check covers. If it
 * were not caught, it would end the reads of the topic, and the process would learn of no later
 * change. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class IsolatingListener implements TopicFollower.Listener {
  private final Topic topic;
  private final TopicFollower.Listener delegate;
  private final EventLog log;
  private Runnable failureListener = () -> {};

  /**
   * Creates a listener without a failure listener.
   *
   * @param topic the topic of the records, not null
   * @param delegate the listener that processes the records, not null
   * @param log the log, not null
   */
  public IsolatingListener(Topic topic, TopicFollower.Listener delegate, EventLog log) {
    this.topic = topic;
    this.delegate = delegate;
    this.log = log;
  }

  /** Sets the listener that is called at each failure. */
  public void setFailureListener(Runnable listener) {
    failureListener = listener;
  }

  @Override
  public void onRecord(StoreRecord record) {
    if (record.isReadable()) {
      isolate(record.key(), record.position(), () -> delegate.onRecord(record));
    } else {
      noteFailure("", record.position(), "the bytes are no record", "");
    }
  }

  @Override
  public void onListed(Set<String> keys, StorePosition end) {
    isolate("", end, () -> delegate.onListed(keys, end));
  }

  private void isolate(String key, StorePosition position, Runnable call) {
    try {
      call.run();
    } catch (RuntimeException | LinkageError | StackOverflowError e) {
      // At most the state of this record is incomplete, unlike after an OutOfMemoryError.
      String place = e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0].toString();
      noteFailure(key, position, String.valueOf(e), place);
    }
  }

  private void noteFailure(String key, StorePosition position, String why, String place) {
    failureListener.run();
    log.write(
        "record_failed",
        "topic",
        topic,
        "key",
        key,
        "era",
        position.era(),
        "offset",
        position.offset(),
        "why",
        why,
        "place",
        place);
  }
}
