package org.shoreroad.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.Incarnation;

/**
 * Many processes, one limited upstream, delayed reports, ends and suspensions of processes: on a
 * virtual clock, with the classes that decide in the product.
 *
 * <p>Callers send far more than the limit. What arrives is checked from outside: in no window of 4
 * s more than one and a half times what the limit allows, and 5. A process that was suspended or
 * has started in the last 3 s is not counted.
 */
class FleetLimitsSimulationTest {
  private static final int SEEDS = Integer.getInteger("limits.seeds", 40);
  private static final int[] SIZES = {3, 7, 12};
  private static final double[] LIMITS = {0.5, 1, 1.2, 1.4, 2.5, 6, 20, 50};
  private static final Incarnation UPSTREAM = new Incarnation("i-1", 1);

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long STEP_NANOS = 5 * MILLI;
  private static final long HEARTBEAT_NANOS = 200 * MILLI;
  private static final long ALIVE_NANOS = 1_200 * MILLI;
  private static final long NAMED_NANOS = 2_000 * MILLI;
  private static final long END_NANOS = 20_000 * MILLI;
  private static final long CONTACT_NANOS = 3_000 * MILLI;
  private static final long WINDOW_NANOS = 4_000 * MILLI;

  /** A process that an answer has told of the limit is counted from this time on. */
  private static final long TOLD_NANOS = 500 * MILLI;

  private static final double OVERAGE = 1.5;
  private static final int SLACK = 5;
  private static final double LEAST_USED = 0.8;

  /** One process: what it knows, whom it has heard, and until when it is not counted. */
  private static final class Process {
    private String name;
    private FleetLimits limits;
    private final Map<String, Long> heardNanos = new HashMap<>();
    private long pausedUntilNanos;
    private long excusedUntilNanos;
    private long toldNanos = Long.MAX_VALUE;
    private int starts;

    private Process(String node) {
      name = node;
      limits = new FleetLimits(name);
    }

    private void restart(long nowNanos) {
      starts++;
      name = name.replaceAll("~.*", "") + "~" + starts;
      limits = new FleetLimits(name);
      heardNanos.clear();
      toldNanos = Long.MAX_VALUE;
      excusedUntilNanos = nowNanos + CONTACT_NANOS;
    }

    private boolean runs(long nowNanos) {
      return nowNanos >= pausedUntilNanos;
    }

    private Set<String> sharers(long nowNanos) {
      Set<String> names = new HashSet<>();
      heardNanos.forEach(
          (peer, nanos) -> {
            if (nowNanos - nanos < ALIVE_NANOS) {
              names.add(peer);
            }
          });
      names.add(name);
      return names;
    }
  }

  /** Something that happens at a time. */
  private record Event(long atNanos, Runnable action) {}

  private static final class World {
    private final SplittableRandom random;
    private final RequestLimit limit;
    private final double demandPerSecond;
    private final boolean hasFaults;
    private final List<Process> processes = new ArrayList<>();
    private final PriorityQueue<Event> events =
        new PriorityQueue<>((one, other) -> Long.compare(one.atNanos(), other.atNanos()));
    private final List<Long> countedNanos = new ArrayList<>();
    private int arrivals;
    private long nowNanos;

    private World(int size, double perSecond, long seed, boolean hasFaults) {
      this.random = new SplittableRandom(seed);
      this.limit = new RequestLimit(perSecond);
      this.demandPerSecond = Math.max(8, 4 * perSecond / size);
      this.hasFaults = hasFaults;
      for (int i = 0; i < size; i++) {
        processes.add(new Process("p" + i));
      }
    }

    private void at(long delayNanos, Runnable action) {
      events.add(new Event(nowNanos + delayNanos, action));
    }

    private void run() {
      for (Process process : processes) {
        at(random.nextLong(HEARTBEAT_NANOS), () -> beat(process));
      }
      for (nowNanos = 0; nowNanos < END_NANOS; nowNanos += STEP_NANOS) {
        while (!events.isEmpty() && events.peek().atNanos() <= nowNanos) {
          events.poll().action().run();
        }
        processes.stream().filter(process -> process.runs(nowNanos)).forEach(this::call);
        if (hasFaults && random.nextInt(400) == 0) {
          disturb(processes.get(random.nextInt(processes.size())));
        }
      }
    }

    private void disturb(Process process) {
      if (random.nextBoolean()) {
        process.restart(nowNanos);
      } else {
        process.pausedUntilNanos = nowNanos + random.nextLong(CONTACT_NANOS);
        process.excusedUntilNanos = process.pausedUntilNanos + CONTACT_NANOS;
      }
    }

    private void beat(Process process) {
      at(HEARTBEAT_NANOS, () -> beat(process));
      if (!process.runs(nowNanos)) {
        return;
      }
      process.limits.setSharers(process.sharers(nowNanos), nowNanos);
      List<LimitReport> reports = process.limits.reports(nowNanos);
      String sender = process.name;
      for (Process other : processes) {
        if (other != process) {
          long delayNanos = random.nextLong(30 * MILLI);
          at(delayNanos, () -> hear(other, sender, reports));
        }
      }
    }

    private void hear(Process process, String sender, List<LimitReport> reports) {
      if (process.runs(nowNanos)) {
        process.heardNanos.put(sender, nowNanos);
        reports.forEach(report -> process.limits.applyReport(report, nowNanos));
      }
    }

    private void call(Process process) {
      double chance = demandPerSecond * STEP_NANOS / TimeUnit.SECONDS.toNanos(1);
      if (random.nextDouble() >= chance || !process.limits.takeTurn(UPSTREAM, nowNanos)) {
        return;
      }
      long sentNanos = nowNanos;
      at(random.nextLong(5 * MILLI), () -> arrive(process, sentNanos));
    }

    private void arrive(Process process, long sentNanos) {
      boolean isTold = nowNanos - process.toldNanos >= TOLD_NANOS;
      boolean isExcused = nowNanos < process.excusedUntilNanos;
      arrivals += nowNanos > NAMED_NANOS + CONTACT_NANOS ? 1 : 0;
      if (nowNanos > NAMED_NANOS && isTold && !isExcused) {
        countedNanos.add(nowNanos);
      }
      RequestLimit named = nowNanos > NAMED_NANOS ? limit : null;
      long answerNanos = 50 * MILLI + random.nextLong(1_000 * MILLI);
      FleetLimits asked = process.limits;
      at(
          answerNanos,
          () -> {
            asked.recordAnswer(UPSTREAM, named, sentNanos, nowNanos);
            if (named != null && asked == process.limits) {
              process.toldNanos = Math.min(process.toldNanos, nowNanos);
            }
          });
    }

    /** Returns the most that arrived in a window that ends after all had time to hear. */
    private int mostInWindow() {
      int most = 0;
      for (int last = 0; last < countedNanos.size(); last++) {
        long endNanos = countedNanos.get(last);
        if (endNanos < NAMED_NANOS + CONTACT_NANOS) {
          continue;
        }
        int count = 0;
        for (int i = last; i >= 0 && endNanos - countedNanos.get(i) < WINDOW_NANOS; i--) {
          count++;
        }
        most = Math.max(most, count);
      }
      return most;
    }

    private double used() {
      double seconds = (double) (END_NANOS - NAMED_NANOS - CONTACT_NANOS) / 1e9;
      return arrivals / (limit.perSecond() * seconds);
    }
  }

  private static List<String> findBroken(boolean hasFaults) {
    List<String> broken = new ArrayList<>();
    for (int size : SIZES) {
      for (double perSecond : LIMITS) {
        for (int seed = 0; seed < SEEDS; seed++) {
          World world = new World(size, perSecond, seed, hasFaults);
          world.run();
          double allowed = OVERAGE * perSecond * WINDOW_NANOS / 1e9 + SLACK;
          if (world.mostInWindow() > allowed) {
            broken.add(
                size
                    + " processes, "
                    + perSecond
                    + "/s, seed "
                    + seed
                    + ": "
                    + world.mostInWindow());
          }
        }
      }
    }
    return broken;
  }

  @Test
  void allTogetherKeepTheLimitInCalmTimes() {
    assertThat(findBroken(false), empty());
  }

  @Test
  void allTogetherKeepTheLimitWhileProcessesEndAndAreSuspended() {
    assertThat(findBroken(true), empty());
  }

  @Test
  void theLimitIsUsedWhileThereIsDemand() {
    for (int size : SIZES) {
      for (double perSecond : LIMITS) {
        double[] used = new double[SEEDS];
        for (int seed = 0; seed < SEEDS; seed++) {
          World world = new World(size, perSecond, seed, false);
          world.run();
          used[seed] = world.used();
        }
        Arrays.sort(used);
        String what = size + " processes, " + perSecond + "/s";
        assertThat(what, used[SEEDS / 2], greaterThanOrEqualTo(LEAST_USED));
      }
    }
  }
}
