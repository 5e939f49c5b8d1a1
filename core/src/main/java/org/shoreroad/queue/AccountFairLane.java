package org.shoreroad.queue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/**
 * Queue of the items of one priority that is fair among client accounts by weighted cost.
 *
 * <p>Implements start-time fair queueing: the virtual start of an account's next item is the
 * virtual finish of its last one, and the account with the earliest start is served next. Not
 * thread-safe.
 *
 * @param <T> the type of the values
 */
final class AccountFairLane<T> {
  /** Number of accounts above which those without items are removed. */
  private static final int IDLE_REMOVAL_THRESHOLD = 1024;

  private final Map<String, AccountQueue<T>> queues = new HashMap<>();
  private final PriorityQueue<AccountQueue<T>> waiting = new PriorityQueue<>();
  private double virtualTime;
  private int size;
  private long nextOrder;

  int size() {
    return size;
  }

  void add(QueuedItem<T> item) {
    AccountQueue<T> queue = queues.computeIfAbsent(item.account(), AccountQueue::new);
    queue.weight = item.accountWeight();
    queue.items.addLast(item);
    size++;
    if (queue.items.size() == 1) {
      queue.start = Math.max(virtualTime, queue.finish);
      queue.order = nextOrder++;
      waiting.add(queue);
    }
  }

  Optional<QueuedItem<T>> poll() {
    AccountQueue<T> queue = waiting.poll();
    if (queue == null) {
      return Optional.empty();
    }
    QueuedItem<T> item = queue.items.removeFirst();
    size--;
    virtualTime = queue.start;
    queue.finish = queue.start + item.cost() / (double) queue.weight;
    requeue(queue);
    removeIdle();
    return Optional.of(item);
  }

  /** Returns the items by the weighted cost in use of their accounts, those that go first ahead. */
  List<QueuedItem<T>> inOrder(
      ToDoubleFunction<String> costInUse, Predicate<QueuedItem<T>> goesFirst) {
    List<TaggedItem<T>> first = new ArrayList<>();
    List<TaggedItem<T>> others = new ArrayList<>();
    for (AccountQueue<T> queue : waiting) {
      double cost = costInUse.applyAsDouble(queue.account);
      for (QueuedItem<T> item : queue.items) {
        List<TaggedItem<T>> tagged = goesFirst.test(item) ? first : others;
        tagged.add(new TaggedItem<>(item, cost / queue.weight, queue.order));
        cost += item.cost();
      }
    }
    Collections.sort(first);
    Collections.sort(others);
    List<QueuedItem<T>> order = new ArrayList<>(size);
    first.forEach(tagged -> order.add(tagged.item));
    others.forEach(tagged -> order.add(tagged.item));
    return order;
  }

  /** Takes an item out of its turn and counts its cost. */
  boolean take(QueuedItem<T> item) {
    AccountQueue<T> queue = queues.get(item.account());
    if (queue == null || !queue.items.remove(item)) {
      return false;
    }
    size--;
    waiting.remove(queue);
    virtualTime = Math.max(virtualTime, queue.start);
    queue.finish = queue.start + item.cost() / (double) queue.weight;
    requeue(queue);
    removeIdle();
    return true;
  }

  void settle(QueuedItem<T> item, long realCost) {
    AccountQueue<T> queue = queues.get(item.account());
    if (queue == null) {
      return;
    }
    double correction = (realCost - item.cost()) / (double) queue.weight;
    queue.finish += correction;
    if (!queue.items.isEmpty()) {
      waiting.remove(queue);
      queue.start = Math.max(virtualTime, queue.start + correction);
      waiting.add(queue);
    }
  }

  /** Returns true if any account has more items per weight than this one after another item. */
  boolean isFullerThan(String account, int weight) {
    AccountQueue<T> fullest = findFullest();
    if (fullest == null) {
      return false;
    }
    AccountQueue<T> own = queues.get(account);
    int ownCount = own == null ? 0 : own.items.size();
    return fullest.itemsPerWeight() > (ownCount + 1) / (double) weight;
  }

  Optional<QueuedItem<T>> removeFromFullest() {
    AccountQueue<T> fullest = findFullest();
    if (fullest == null) {
      return Optional.empty();
    }
    size--;
    QueuedItem<T> removed = fullest.items.removeLast();
    if (fullest.items.isEmpty()) {
      waiting.remove(fullest);
    }
    return Optional.of(removed);
  }

  void removeIf(Predicate<QueuedItem<T>> condition, List<QueuedItem<T>> removed) {
    for (AccountQueue<T> queue : queues.values()) {
      boolean wasWaiting = !queue.items.isEmpty();
      for (Iterator<QueuedItem<T>> it = queue.items.iterator(); it.hasNext(); ) {
        QueuedItem<T> item = it.next();
        if (condition.test(item)) {
          it.remove();
          size--;
          removed.add(item);
        }
      }
      if (wasWaiting && queue.items.isEmpty()) {
        waiting.remove(queue);
      }
    }
  }

  private void requeue(AccountQueue<T> queue) {
    if (!queue.items.isEmpty()) {
      queue.start = queue.finish;
      queue.order = nextOrder++;
      waiting.add(queue);
    }
  }

  private void removeIdle() {
    if (queues.size() > IDLE_REMOVAL_THRESHOLD) {
      queues.values().removeIf(queue -> queue.items.isEmpty() && queue.finish <= virtualTime);
    }
  }

  private @Nullable AccountQueue<T> findFullest() {
    AccountQueue<T> fullest = null;
    for (AccountQueue<T> queue : waiting) {
      if (fullest == null || queue.itemsPerWeight() > fullest.itemsPerWeight()) {
        fullest = queue;
      }
    }
    return fullest;
  }

  /** Item with the cost that its account has in use ahead of it, and a tie breaker. */
  private record TaggedItem<T>(QueuedItem<T> item, double cost, long order)
      implements Comparable<TaggedItem<T>> {
    @Override
    public int compareTo(TaggedItem<T> other) {
      int byCost = Double.compare(cost, other.cost);
      return byCost != 0 ? byCost : Long.compare(order, other.order);
    }
  }

  /** Items and virtual times of one account. */
  private static final class AccountQueue<T> implements Comparable<AccountQueue<T>> {
    private final String account;
    private final ArrayDeque<QueuedItem<T>> items = new ArrayDeque<>();
    private int weight = 1;
    private double start;
    private double finish;
    private long order;

    AccountQueue(String account) {
      this.account = account;
    }

    double itemsPerWeight() {
      return items.size() / (double) weight;
    }

    @Override
    public int compareTo(AccountQueue<T> other) {
      int byStart = Double.compare(start, other.start);
      return byStart != 0 ? byStart : Long.compare(order, other.order);
    }

    @Override
    public String toString() {
      return account + ":" + items.size();
    }
  }
}
