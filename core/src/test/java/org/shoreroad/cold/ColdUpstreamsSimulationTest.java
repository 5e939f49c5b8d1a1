package org.shoreroad.cold;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.traffic.ColdStart;

/**
 * Many processes with more requests than a cold upstream bears, on a virtual clock. Without faults
 * no second may hold more requests than the rate; with processes that restart, are cut off, or know
 * other sets of processes, not more than one and a half times the rate and 5.
 */
class ColdUpstreamsSimulationTest {
  private static final int SEEDS = Integer.getInteger("cold.seeds", 20);
  private static final int[] SIZES = {1, 3, 12, 68};
  private static final double[] RATES = {0.5, 1, 2.5, 17};
  private static final Incarnation UPSTREAM = new Incarnation("i-1", 1);
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long STEP_NANOS = 5 * MILLI;
  private static final long END_NANOS = 12 * SECOND;
  private static final int COLD_MS = 12_000;

  /** Longest time until a connection is open, after the turn was taken. */
  private static final long SLOW_CONNECT_NANOS = 400 * MILLI;

  /** The same where connections are usually open already. */
  private static final long FAST_CONNECT_NANOS = 5 * MILLI;

  /** Longest latency from the sending of a request to its arrival. */
  private static final long ARRIVAL_NANOS = 30 * MILLI;

  /** Time until all processes know of the coldness: an interval of reading the list. */
  private static final long LAG = 900 * MILLI;

  private static final double OVERAGE = 1.5;
  private static final int SLACK = 5;

  /** One process: requests that wait for a connection, and the time until it knows the others. */
  private static final class Process {
    private final String name;
    private final List<Long> connectingUntilNanos = new ArrayList<>();
    private ColdUpstreams cold;
    private Set<String> known;
    private long ignorantUntilNanos;

    Process(String name, Set<String> names) {
      this.name = name;
      this.known = names;
      start(0, 0);
    }

    /** Starts the process; the memory of a former run is lost. */
    private void start(long nowNanos, long ignoranceNanos) {
      cold = new ColdUpstreams(name);
      connectingUntilNanos.clear();
      ignorantUntilNanos = nowNanos + ignoranceNanos;
    }

    private void step(
        long nowNanos, ColdStart rate, double offered, long connectNanos, SplittableRandom random) {
      cold.setSharers(nowNanos < ignorantUntilNanos ? Set.of() : known, nowNanos);
      if (!cold.isCold(UPSTREAM, nowNanos)) {
        long leftMs = COLD_MS - nowNanos / MILLI;
        cold.recordStatement(UPSTREAM, rate, leftMs, nowNanos);
      }
      if (random.nextDouble() < offered && cold.takeTurn(UPSTREAM, nowNanos)) {
        connectingUntilNanos.add(nowNanos + random.nextLong(connectNanos));
      }
    }

    private int send(long nowNanos) {
      int sent = 0;
      for (Long dueNanos : List.copyOf(connectingUntilNanos)) {
        if (dueNanos <= nowNanos) {
          connectingUntilNanos.remove(dueNanos);
          sent += cold.confirmSend(UPSTREAM, nowNanos) ? 1 : 0;
        }
      }
      return sent;
    }
  }

  private static List<Long> arrivals(
      int size, ColdStart rate, long seed, long connectNanos, boolean hasFaults) {
    SplittableRandom random = new SplittableRandom(seed);
    Set<String> names = new HashSet<>();
    for (int i = 0; i < size; i++) {
      names.add("p" + i);
    }
    List<Process> processes = new ArrayList<>();
    names.stream().sorted().forEach(name -> processes.add(new Process(name, names)));
    double offered = 4 * rate.requestsPerSecond() / size * STEP_NANOS / SECOND + 0.01;
    List<Long> arrivals = new ArrayList<>();
    for (long now = 0; now < END_NANOS; now += STEP_NANOS) {
      if (hasFaults && random.nextInt(100) == 0) {
        injectFault(processes.get(random.nextInt(size)), names, now, random);
      }
      for (Process process : processes) {
        process.step(now, rate, offered, connectNanos, random);
        for (int sent = process.send(now); sent > 0; sent--) {
          arrivals.add(now + random.nextLong(ARRIVAL_NANOS));
        }
      }
    }
    arrivals.sort(Long::compare);
    return arrivals;
  }

  /** Restarts a process, or lets it go by a list that lacks some processes or holds former ones. */
  private static void injectFault(
      Process process, Set<String> names, long nowNanos, SplittableRandom random) {
    if (random.nextBoolean()) {
      process.start(nowNanos, random.nextLong(SECOND));
      return;
    }
    Set<String> other = new HashSet<>(names);
    if (random.nextBoolean()) {
      other.removeIf(name -> !name.equals(process.name) && random.nextInt(10) == 0);
    } else {
      other.add("former" + random.nextInt(3));
    }
    process.known = other;
  }

  private static int maxInSecond(List<Long> arrivals) {
    int max = 0;
    int first = 0;
    for (int last = 0; last < arrivals.size(); last++) {
      while (arrivals.get(last) - arrivals.get(first) >= SECOND) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }

  private static List<String> findExceeded(boolean hasFaults) {
    List<String> exceeded = new ArrayList<>();
    for (int size : SIZES) {
      for (double perSecond : RATES) {
        double allowed = hasFaults ? perSecond * OVERAGE + SLACK : Math.max(1, perSecond);
        for (int seed = 0; seed < SEEDS; seed++) {
          ColdStart rate = new ColdStart(12, perSecond);
          int max = maxInSecond(arrivals(size, rate, seed, SLOW_CONNECT_NANOS, hasFaults));
          if (max > allowed) {
            exceeded.add(size + " processes, " + perSecond + "/s, seed " + seed + ": " + max);
          }
        }
      }
    }
    return exceeded;
  }

  @Test
  void noSecondHoldsMoreThanTheRate() {
    assertThat(findExceeded(false), empty());
  }

  @Test
  void theUsersBoundHoldsWithFaults() {
    assertThat(findExceeded(true), empty());
  }

  /**
   * Owners that follow one another, each of which knows only its own grants, and processes that
   * learn of the coldness one after the other. Counted from when all know of it.
   */
  private static List<Long> arrivalsWithGrants(int size, ColdStart rate, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Set<String> names = new HashSet<>();
    for (int i = 0; i < size; i++) {
      names.add("p" + i);
    }
    List<GrantingProcess> processes = new ArrayList<>();
    names.stream()
        .sorted()
        .forEach(name -> processes.add(new GrantingProcess(name, names, random.nextLong(LAG))));
    double offered = 8 * rate.requestsPerSecond() * STEP_NANOS / SECOND + 0.01;
    List<Long> arrivals = new ArrayList<>();
    int owner = 0;
    long ownerUntilNanos = 0;
    for (long now = 0; now < END_NANOS; now += STEP_NANOS) {
      if (now >= ownerUntilNanos) {
        // A lease is held for longer than a second.
        ownerUntilNanos = now + SECOND + random.nextLong(2 * SECOND);
        owner = random.nextInt(size);
      }
      for (GrantingProcess process : processes) {
        process.step(now, rate, offered / size, random);
      }
      if (random.nextDouble() < offered && processes.get(owner).grant(now)) {
        GrantingProcess granted = processes.get(random.nextInt(size));
        granted.grantedUntilNanos.add(now + random.nextLong(SLOW_CONNECT_NANOS));
      }
      for (GrantingProcess process : processes) {
        int sent = process.send(now);
        for (; sent > 0 && now >= LAG; sent--) {
          arrivals.add(now + random.nextLong(ARRIVAL_NANOS));
        }
      }
    }
    arrivals.sort(Long::compare);
    return arrivals;
  }

  /** A process that also sends granted requests, and grants them while it is the owner. */
  private static final class GrantingProcess {
    private final ColdUpstreams cold;
    private final long knowsNanos;
    private final List<Long> grantNanos = new ArrayList<>();
    private final List<Long> grantedUntilNanos = new ArrayList<>();
    private final List<Long> connectingUntilNanos = new ArrayList<>();

    GrantingProcess(String name, Set<String> names, long knowsNanos) {
      cold = new ColdUpstreams(name);
      cold.setGranted(upstream -> true, 0);
      cold.setSharers(names, 0);
      this.knowsNanos = knowsNanos;
    }

    void step(long nowNanos, ColdStart rate, double offered, SplittableRandom random) {
      if (nowNanos >= knowsNanos && !cold.isCold(UPSTREAM, nowNanos)) {
        cold.recordStatement(UPSTREAM, rate, COLD_MS - nowNanos / MILLI, nowNanos);
      }
      if (random.nextDouble() < offered && cold.takeTurn(UPSTREAM, nowNanos)) {
        connectingUntilNanos.add(nowNanos + random.nextLong(SLOW_CONNECT_NANOS));
      }
    }

    boolean grant(long nowNanos) {
      double perSecond = cold.grantsPerSecond(UPSTREAM, nowNanos);
      long intervalNanos = perSecond >= 1 ? SECOND : (long) (SECOND / Math.max(1e-9, perSecond));
      grantNanos.removeIf(granted -> nowNanos - granted >= intervalNanos);
      boolean mayGrant = perSecond > 0 && grantNanos.size() < Math.max(1, Math.floor(perSecond));
      if (mayGrant) {
        grantNanos.add(nowNanos);
      }
      return mayGrant;
    }

    int send(long nowNanos) {
      int sent = 0;
      for (Long dueNanos : List.copyOf(connectingUntilNanos)) {
        if (dueNanos <= nowNanos) {
          connectingUntilNanos.remove(dueNanos);
          sent += cold.confirmSend(UPSTREAM, nowNanos) ? 1 : 0;
        }
      }
      for (Long dueNanos : List.copyOf(grantedUntilNanos)) {
        if (dueNanos <= nowNanos) {
          grantedUntilNanos.remove(dueNanos);
          sent += cold.permitsGranted(UPSTREAM, nowNanos) ? 1 : 0;
        }
      }
      return sent;
    }
  }

  @Test
  void theUsersBoundHoldsWithGrantsAndChangesOfOwner() {
    List<String> exceeded = new ArrayList<>();
    for (int size : SIZES) {
      for (double perSecond : RATES) {
        for (int seed = 0; seed < SEEDS; seed++) {
          ColdStart rate = new ColdStart(12, perSecond);
          List<Long> arrivals = arrivalsWithGrants(size, rate, seed);
          int max = maxInSecond(arrivals);
          if (max > perSecond * OVERAGE + SLACK) {
            exceeded.add(size + " processes, " + perSecond + "/s, seed " + seed + ": " + max);
          }
          assertThat("none sent at " + perSecond, arrivals.isEmpty(), is(false));
        }
      }
    }
    assertThat(exceeded, empty());
  }

  @Test
  void halfOfTheWholeRequestsPerSecondAreUsedWhileThereIsDemand() {
    for (int size : SIZES) {
      for (double perSecond : RATES) {
        ColdStart rate = new ColdStart(12, perSecond);
        int count = arrivals(size, rate, 1, FAST_CONNECT_NANOS, false).size();
        double whole = perSecond < 1 ? perSecond : Math.floor(perSecond);
        double possible = whole * (END_NANOS / SECOND - 2);
        String what = size + " processes, " + perSecond + "/s";
        assertThat(what, (double) count, greaterThanOrEqualTo(0.5 * possible));
      }
    }
  }
}
