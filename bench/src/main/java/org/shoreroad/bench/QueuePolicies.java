package org.shoreroad.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.shoreroad.queue.FairQueue;
import org.shoreroad.queue.QueuedItem;

/**
 * Simulates an overloaded replica with the fair queue and with a first-in-first-out queue.
 *
 * <p>Time is simulated: the replica runs one request at a time, and each takes its cost in
 * milliseconds. Bulletins are urgent requests of priority 0, lookups have priority 5.
 */
final class QueuePolicies {
  private static final int CAPACITY = 256;
  private static final int MEAN_COST = 20;
  private static final long NO_DEADLINE_NANOS = Long.MAX_VALUE / 4;

  private QueuePolicies() {}

  /**
   * The result of a run.
   *
   * @param bulletinP99WaitMs the 99th percentile of the wait of bulletins, in milliseconds
   * @param bulletinsRefused the number of bulletins refused or displaced by a full queue
   * @param lookupsServed the number of lookups run
   * @param jain the Jain index of the served cost over the accounts, 1 for equal shares
   */
  record Result(long bulletinP99WaitMs, int bulletinsRefused, int lookupsServed, double jain) {}

  /** A request with its arrival time and its cost, both in milliseconds, its account and kind. */
  private record Request(long atMs, String account, boolean isBulletin, int cost) {}

  private interface RequestQueue {
    /** Adds a request; returns the request that is refused or displaced, if any. */
    Optional<Request> offer(Request request);

    Optional<Request> poll();
  }

  private static final class Fifo implements RequestQueue {
    private final ArrayDeque<Request> waiting = new ArrayDeque<>();

    @Override
    public Optional<Request> offer(Request request) {
      if (waiting.size() >= CAPACITY) {
        return Optional.of(request);
      }
      waiting.add(request);
      return Optional.empty();
    }

    @Override
    public Optional<Request> poll() {
      return Optional.ofNullable(waiting.poll());
    }
  }

  private static final class Fair implements RequestQueue {
    private final FairQueue<Request> queue = new FairQueue<>(CAPACITY);

    @Override
    public Optional<Request> offer(Request request) {
      FairQueue.OfferResult<Request> offered =
          queue.offer(
              new QueuedItem<>(
                  request,
                  request.account(),
                  1,
                  request.isBulletin() ? 0 : 5,
                  request.cost(),
                  NO_DEADLINE_NANOS));
      return offered.isAccepted()
          ? offered.displaced().map(QueuedItem::value)
          : Optional.of(request);
    }

    @Override
    public Optional<Request> poll() {
      return queue.poll().map(QueuedItem::value);
    }
  }

  /** Simulates 1.5 times the capacity of the replica, with a tenth of the requests bulletins. */
  static Result overload(boolean isFair, long seed) {
    return run(isFair ? new Fair() : new Fifo(), 1.5, Map.of("a", 1, "b", 1), 0.1, seed);
  }

  /** Simulates ten accounts, one of which sends ten times as many requests as each other one. */
  static Result unevenAccounts(boolean isFair, long seed) {
    Map<String, Integer> accounts = new HashMap<>(Map.of("flood", 10));
    for (int i = 1; i < 10; i++) {
      accounts.put("a" + i, 1);
    }
    return run(isFair ? new Fair() : new Fifo(), 1.9, accounts, 0, seed);
  }

  private static Result run(
      RequestQueue requestQueue,
      double load,
      Map<String, Integer> shares,
      double bulletinShare,
      long seed) {
    Random random = new Random(seed);
    List<String> weightedAccounts = new ArrayList<>();
    shares.forEach(
        (account, share) -> weightedAccounts.addAll(java.util.Collections.nCopies(share, account)));
    Histogram bulletinWaits = new Histogram(3);
    Map<String, Long> servedCost = new HashMap<>();
    int refusedBulletins = 0;
    int lookups = 0;
    long busyUntilMs = 0;
    for (long nowMs = 0; nowMs < 600_000; nowMs++) {
      if (random.nextDouble() < load / MEAN_COST) {
        Request request =
            new Request(
                nowMs,
                weightedAccounts.get(random.nextInt(weightedAccounts.size())),
                random.nextDouble() < bulletinShare,
                1 + random.nextInt(2 * MEAN_COST - 1));
        Optional<Request> refused = requestQueue.offer(request);
        refusedBulletins += refused.isPresent() && refused.get().isBulletin() ? 1 : 0;
      }
      if (nowMs >= busyUntilMs) {
        Optional<Request> next = requestQueue.poll();
        if (next.isPresent()) {
          Request request = next.get();
          busyUntilMs = nowMs + request.cost();
          servedCost.merge(request.account(), (long) request.cost(), Long::sum);
          lookups += request.isBulletin() ? 0 : 1;
          if (request.isBulletin()) {
            bulletinWaits.recordValue(nowMs - request.atMs());
          }
        }
      }
    }
    return new Result(
        bulletinWaits.getValueAtPercentile(99), refusedBulletins, lookups, jain(servedCost));
  }

  private static double jain(Map<String, Long> cost) {
    double sum = cost.values().stream().mapToDouble(Long::doubleValue).sum();
    double squares = cost.values().stream().mapToDouble(c -> (double) c * c).sum();
    return sum * sum / (cost.size() * squares);
  }
}
