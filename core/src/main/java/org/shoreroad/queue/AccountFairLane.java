package org.shoreroad.queue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The items of one priority, shared among client accounts by weighted cost.
 *
 * <p>Start-time fair queueing: an account's next item starts, in virtual time, where its last one
 * ended; the account with the earliest start goes next. Not thread-safe.
 *
 * @param <T> the type of the values
 */
final class AccountFairLane<T> {
  /** Accounts without items are forgotten above this number. */
  private static final int IDLE_ACCOUNTS_KEPT = 1024;

  private final Map<String, AccountLine<T>> lines = new HashMap<>();
  private final PriorityQueue<AccountLine<T>> waiting = new PriorityQueue<>();
  private double virtualTime;
  private int size;
  private long nextOrder;

  int size() {
    return size;
  }

  void add(QueuedItem<T> item) {
    AccountLine<T> line = lines.computeIfAbsent(item.account(), AccountLine::new);
    line.weight = item.accountWeight();
    line.items.addLast(item);
    size++;
    if (line.items.size() == 1) {
      line.start = Math.max(virtualTime, line.finish);
      line.order = nextOrder++;
      waiting.add(line);
    }
  }

  Optional<QueuedItem<T>> poll() {
    AccountLine<T> line = waiting.poll();
    if (line == null) {
      return Optional.empty();
    }
    QueuedItem<T> item = line.items.removeFirst();
    size--;
    virtualTime = line.start;
    line.finish = line.start + item.cost() / (double) line.weight;
    requeue(line);
    forgetIdle();
    return Optional.of(item);
  }

  void settle(QueuedItem<T> item, long realCost) {
    AccountLine<T> line = lines.get(item.account());
    if (line == null) {
      return;
    }
    double correction = (realCost - item.cost()) / (double) line.weight;
    line.finish += correction;
    if (!line.items.isEmpty()) {
      waiting.remove(line);
      line.start = Math.max(virtualTime, line.start + correction);
      waiting.add(line);
    }
  }

  /** Returns true if some account holds more per weight than the named one would with one more. */
  boolean isFullerThan(String account, int weight) {
    AccountLine<T> fullest = findFullest();
    if (fullest == null) {
      return false;
    }
    AccountLine<T> own = lines.get(account);
    int ownCount = own == null ? 0 : own.items.size();
    return fullest.crowding() > (ownCount + 1) / (double) weight;
  }

  Optional<QueuedItem<T>> removeFromFullest() {
    AccountLine<T> fullest = findFullest();
    if (fullest == null) {
      return Optional.empty();
    }
    size--;
    QueuedItem<T> victim = fullest.items.removeLast();
    if (fullest.items.isEmpty()) {
      waiting.remove(fullest);
    }
    return Optional.of(victim);
  }

  void removeIf(Predicate<QueuedItem<T>> condition, List<QueuedItem<T>> removed) {
    for (AccountLine<T> line : lines.values()) {
      boolean wasWaiting = !line.items.isEmpty();
      for (Iterator<QueuedItem<T>> it = line.items.iterator(); it.hasNext(); ) {
        QueuedItem<T> item = it.next();
        if (condition.test(item)) {
          it.remove();
          size--;
          removed.add(item);
        }
      }
      if (wasWaiting && line.items.isEmpty()) {
        waiting.remove(line);
      }
    }
  }

  private void requeue(AccountLine<T> line) {
    if (!line.items.isEmpty()) {
      line.start = line.finish;
      line.order = nextOrder++;
      waiting.add(line);
    }
  }

  private void forgetIdle() {
    if (lines.size() > IDLE_ACCOUNTS_KEPT) {
      lines.values().removeIf(l -> l.items.isEmpty() && l.finish <= virtualTime);
    }
  }

  private @Nullable AccountLine<T> findFullest() {
    AccountLine<T> fullest = null;
    for (AccountLine<T> line : waiting) {
      if (fullest == null || line.crowding() > fullest.crowding()) {
        fullest = line;
      }
    }
    return fullest;
  }

  /** The items of one account. */
  private static final class AccountLine<T> implements Comparable<AccountLine<T>> {
    private final String account;
    private final ArrayDeque<QueuedItem<T>> items = new ArrayDeque<>();
    private int weight = 1;
    private double start;
    private double finish;
    private long order;

    AccountLine(String account) {
      this.account = account;
    }

    double crowding() {
      return items.size() / (double) weight;
    }

    @Override
    public int compareTo(AccountLine<T> other) {
      int byStart = Double.compare(start, other.start);
      return byStart != 0 ? byStart : Long.compare(order, other.order);
    }

    @Override
    public String toString() {
      return account + ":" + items.size();
    }
  }
}
