package org.shoreroad.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A bounded queue with precedence among priorities and fairness among client accounts.
 *
 * <ul>
 *   <li>A lower priority number goes first, but every {@value #TURN_OF_OTHERS}th item is taken from
 *       the other priorities in turn, so that none starves.
 *   <li>Within a priority, accounts share by weighted cost (start-time fair queueing), so an
 *       account's flood lengthens only its own wait.
 *   <li>When the queue is full, a newcomer takes the place of the newest item of a later priority,
 *       or else of the account that fills its own priority most beyond its weight; where neither is
 *       behind the newcomer, the newcomer is refused.
 * </ul>
 *
 * <p>Not thread-safe: one thread owns a queue. Times come from the caller.
 *
 * @param <T> the type of the values
 * @since 0.1
 */
public final class FairQueue<T> {
  /** How many priorities there are. */
  public static final int PRIORITIES = 10;

  /** Every how many items one goes to the priorities behind the first. */
  public static final int TURN_OF_OTHERS = 10;

  private final List<AccountFairLane<T>> lanes = new ArrayList<>();
  private int capacity;
  private int size;
  private int takenInARow;
  private int lastOtherLane;

  /**
   * Creates an empty queue.
   *
   * @param capacity how many items it holds at most, 0 or more
   */
  public FairQueue(int capacity) {
    this.capacity = capacity;
    for (int i = 0; i < PRIORITIES; i++) {
      lanes.add(new AccountFairLane<>());
    }
  }

  /**
   * What an offer led to.
   *
   * @param isAccepted whether the newcomer is in the queue
   * @param displaced the item that gave up its place, if any
   * @param <T> the type of the values
   */
  public record OfferResult<T>(boolean isAccepted, Optional<QueuedItem<T>> displaced) {}

  /** Sets how many items the queue holds at most; what is in it stays. */
  public void setCapacity(int capacity) {
    this.capacity = capacity;
  }

  /** Returns how many items wait. */
  public int size() {
    return size;
  }

  /** Returns how many items wait at this priority or before it. */
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
   * @return whether it was taken, and which item it displaced
   */
  public OfferResult<T> offer(QueuedItem<T> item) {
    if (size < capacity) {
      add(item);
      return new OfferResult<>(true, Optional.empty());
    }
    // A later priority gives way first, from the last.
    for (int i = PRIORITIES - 1; i > item.priority(); i--) {
      Optional<QueuedItem<T>> victim = lanes.get(i).removeFromFullest();
      if (victim.isPresent()) {
        return replace(victim, item);
      }
    }
    // Then the account that takes most of the same priority beyond its weight.
    AccountFairLane<T> lane = lanes.get(item.priority());
    if (lane.isFullerThan(item.account(), item.accountWeight())) {
      return replace(lane.removeFromFullest(), item);
    }
    return new OfferResult<>(false, Optional.empty());
  }

  /**
   * Takes the next item.
   *
   * @return the item, or empty if none waits
   */
  public Optional<QueuedItem<T>> poll() {
    int first = findFirstLane(0);
    if (first == PRIORITIES) {
      return Optional.empty();
    }
    int lane = first;
    takenInARow++;
    if (takenInARow >= TURN_OF_OTHERS) {
      takenInARow = 0;
      lane = findOtherLane(first);
    }
    size--;
    return lanes.get(lane).poll();
  }

  /** Takes out every item whose deadline has passed, in no particular order. */
  public List<QueuedItem<T>> removeOverdue(long nowNanos) {
    return removeIf(item -> item.deadlineNanos() - nowNanos < 0);
  }

  /** Takes out every item that the condition holds for. */
  public List<QueuedItem<T>> removeIf(Predicate<QueuedItem<T>> condition) {
    List<QueuedItem<T>> removed = new ArrayList<>();
    lanes.forEach(lane -> lane.removeIf(condition, removed));
    size -= removed.size();
    return removed;
  }

  /**
   * Corrects an account's share once the real cost is known.
   *
   * @param item the item that was taken and run
   * @param realCost its real cost, 0 or more
   */
  public void settle(QueuedItem<T> item, long realCost) {
    lanes.get(item.priority()).settle(item, realCost);
  }

  private void add(QueuedItem<T> item) {
    lanes.get(item.priority()).add(item);
    size++;
  }

  private OfferResult<T> replace(Optional<QueuedItem<T>> victim, QueuedItem<T> item) {
    size--;
    add(item);
    return new OfferResult<>(true, victim);
  }

  private int findFirstLane(int from) {
    int lane = from;
    while (lane < PRIORITIES && lanes.get(lane).size() == 0) {
      lane++;
    }
    return lane;
  }

  /** Returns the next lane behind the first that holds an item, in turn; the first if none does. */
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
