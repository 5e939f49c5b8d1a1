package org.shoreroad.queue;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

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
      lastOtherLane = lane == first ? lastOtherLane : lane;
    }
    size--;
    return lanes.get(lane).poll();
  }

  /**
   * Returns the items in the order in which they are due by the cost that their accounts have in
   * use: by priority with every {@value #OTHERS_INTERVAL}th item from the others as in {@link
   * #poll}, and within a priority first the items that go first, then by the weighted cost that the
   * account uses together with its items ahead. The queue isn't changed.
   *
   * @param costInUse the cost that an account has in use outside of the queue, not null
   * @param goesFirst whether an item goes before the others of its priority, not null
   * @return a new list
   */
  public List<QueuedItem<T>> inOrder(
      ToDoubleFunction<String> costInUse, Predicate<QueuedItem<T>> goesFirst) {
    List<QueuedItem<T>> order = new ArrayList<>(size);
    List<Iterator<QueuedItem<T>>> sorted = new ArrayList<>(PRIORITIES);
    for (AccountFairLane<T> lane : lanes) {
      sorted.add(lane.inOrder(costInUse, goesFirst).iterator());
    }
    int polls = pollsSinceOthers;
    int lastOther = lastOtherLane;
    while (order.size() < size) {
      int lane = findNext(sorted, 0);
      polls++;
      if (polls >= OTHERS_INTERVAL) {
        polls = 0;
        int other = findOther(sorted, lane, lastOther);
        lastOther = other == lane ? lastOther : other;
        lane = other;
      }
      order.add(sorted.get(lane).next());
    }
    return order;
  }

  /**
   * Takes an item out of its turn, which counts as a poll.
   *
   * @param item the item, not null
   * @return true if the item was in the queue
   */
  public boolean take(QueuedItem<T> item) {
    int first = findFirstLane(0);
    if (!lanes.get(item.priority()).take(item)) {
      return false;
    }
    size--;
    pollsSinceOthers++;
    if (item.priority() > first) {
      pollsSinceOthers = 0;
      lastOtherLane = item.priority();
    } else if (pollsSinceOthers >= OTHERS_INTERVAL && findOtherLane(first) == first) {
      pollsSinceOthers = 0;
    }
    return true;
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

  private static <T> int findNext(List<Iterator<QueuedItem<T>>> lanes, int from) {
    int lane = from;
    while (lane < PRIORITIES && !lanes.get(lane).hasNext()) {
      lane++;
    }
    return lane;
  }

  private static <T> int findOther(List<Iterator<QueuedItem<T>>> lanes, int first, int last) {
    for (int step = 1; step <= PRIORITIES; step++) {
      int lane = (last + step) % PRIORITIES;
      if (lane > first && lanes.get(lane).hasNext()) {
        return lane;
      }
    }
    return first;
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
        return lane;
      }
    }
    return first;
  }
}
