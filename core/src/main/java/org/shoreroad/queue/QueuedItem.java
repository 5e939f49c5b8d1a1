package org.shoreroad.queue;

/**
 * Item of a {@link FairQueue}.
 *
 * <p>This class is immutable; it is as thread-safe as its value.
 *
 * @param value the work to be started
 * @param account the client account that the item counts for
 * @param accountWeight the weight of the account's share, 1 or more
 * @param priority the priority, 0 (first) to 9 (last)
 * @param cost the expected cost in weighted tokens, positive
 * @param deadlineNanos the time on the monotonic clock by which it must have been started
 * @param <T> the type of the value
 * @since 0.1
 */
public record QueuedItem<T>(
    T value, String account, int accountWeight, int priority, long cost, long deadlineNanos) {
  /** Checks the ranges. */
  public QueuedItem {
    if (accountWeight < 1 || cost < 1 || priority < 0 || priority >= FairQueue.PRIORITIES) {
      throw new IllegalArgumentException("out of range: " + account + " " + priority);
    }
  }
}
