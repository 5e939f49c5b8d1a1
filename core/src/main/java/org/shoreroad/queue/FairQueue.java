package org.shoreroad.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Bounded queue with priorities and with fairness among client accounts.
 *
 * <ul>
 *   <li>A lower priority number goes first, but every {@value #OTHERS_INTERVAL}th item is taken
 *       from the other priorities in rotation, so that none starves.
 *   <li>Within a priority, accounts share by weighted cost (start-time fair queueing), so that many
 *       items of one account delay only that account.
 *   <li>When the queue is full, a new item displaces the newest item of a later priority, or else
 *       of the account with the most items per weight in the same priority. If neither ranks behind
 *       the new item, the new item is refused.
 * </ul>
 *
 * <p>Not thread-safe: confined to one thread. Times are passed in by the caller.
 *
 * @param <T> the type of the values
 * @since 0.1
 */
public final class FairQueue<T> {
  /** Number of priorities. */
  public static final int PRIORITIES = 10;

  /** Number of polls of which one takes an item from a priority behind the first. */
  public static final int OTHERS_INTERVAL = 10;

  private final List<AccountFairLane<T>> lanes = new ArrayList<>();
  private int capacity;
  private int size;
  private int pollsSinceOthers;
  private int lastOtherLane;

  /**
   * Creates an empty queue.
   *
   * @param capacity the maximum number of items, 0 or more
   */
  public FairQueue(int capacity) {
    this.capacity = capacity;
    for (int i = 0; i < PRIORITIES; i++) {
      lanes.add(new AccountFairLane<>());
    }
  }

  /**
   * Result of an offer.
   *
   * @param isAccepted whether the offered item is in the queue
   * @param displaced the item that was removed to make room, if any
   * @param <T> the type of the values
   */
  public record OfferResult<T>(boolean isAccepted, Optional<QueuedItem<T>> displaced) {}

  /** Sets the maximum number of items; items above it stay in the queue. */
  public void setCapacity(int capacity) {
    this.capacity = capacity;
  }

  /** Returns the number of items. */
  public int size() {
    return size;
  }

  /** Returns the number of items of this priority and all before it. */
  public int sizeUpTo(int priority) {
    int count = 0;
    for (int i = 0; i <= priority; i++) {
      count += lanes.get(i).size();
    }
    return count;
  }

  /**
   * Offers an item.
   *
   * @param item the item, not null
   * @return whether the item was accepted, and the item that it displaced
   */
  public OfferResult<T> offer(QueuedItem<T> item) {
    if (size < capacity) {
      add(item);
      return new OfferResult<>(true, Optional.empty());
    }
    // Later priorities are displaced first, from the last.
    for (int i = PRIORITIES - 1; i > item.priority(); i--) {
      Optional<QueuedItem<T>> displaced = lanes.get(i).removeFromFullest();
      if (displaced.isPresent()) {
        return replace(displaced, item);
      }
    }
    // Then the account with the most items per weight in the same priority.
    AccountFairLane<T> lane = lanes.get(item.priority());
    if (lane.isFullerThan(item.account(), item.accountWeight())) {
      return replace(lane.removeFromFullest(), item);
    }
    return new OfferResult<>(false, Optional.empty());
  }

  /**
   * Takes the next item.
   *
   * @return the item, or empty if the queue is empty
   */
  public Optional<QueuedItem<T>> poll() {
    int first = findFirstLane(0);
    if (first == PRIORITIES) {
      return Optional.empty();
    }
    int lane = first;
    pollsSinceOthers++;
    if (pollsSinceOthers >= OTHERS_INTERVAL) {
      pollsSinceOthers = 0;
      lane = findOtherLane(first);
    }
    size--;
    return lanes.get(lane).poll();
  }

  /** Removes and returns the items whose deadline has passed, in no particular order. */
  public List<QueuedItem<T>> removeOverdue(long nowNanos) {
    return removeIf(item -> item.deadlineNanos() - nowNanos < 0);
  }

  /** Removes and returns the items that match the condition. */
  public List<QueuedItem<T>> removeIf(Predicate<QueuedItem<T>> condition) {
    List<QueuedItem<T>> removed = new ArrayList<>();
    lanes.forEach(lane -> lane.removeIf(condition, removed));
    size -= removed.size();
    return removed;
  }

  /**
   * Corrects an account's share when the real cost is known.
   *
   * @param item the item that was polled and run
   * @param realCost its real cost, 0 or more
   */
  public void settle(QueuedItem<T> item, long realCost) {
    lanes.get(item.priority()).settle(item, realCost);
  }

  private void add(QueuedItem<T> item) {
    lanes.get(item.priority()).add(item);
    size++;
  }

  private OfferResult<T> replace(Optional<QueuedItem<T>> displaced, QueuedItem<T> item) {
    size--;
    add(item);
    return new OfferResult<>(true, displaced);
  }

  private int findFirstLane(int from) {
    int lane = from;
    while (lane < PRIORITIES && lanes.get(lane).size() == 0) {
      lane++;
    }
    return lane;
  }

  /** Returns the next nonempty lane behind the first, in rotation, else the first itself. */
  private int findOtherLane(int first) {
    for (int step = 1; step <= PRIORITIES; step++) {
      int lane = (lastOtherLane + step) % PRIORITIES;
      if (lane > first && lanes.get(lane).size() > 0) {
        lastOtherLane = lane;
        return lane;
      }
    }
    return first;
  }
}
