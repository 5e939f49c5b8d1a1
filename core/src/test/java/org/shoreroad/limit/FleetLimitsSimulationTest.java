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
 * Simulates many processes and one limited upstream on a virtual clock, with delayed reports and
 * with restarts and suspensions of processes. The production classes decide what is sent.
 *
 * <p>Guards against processes that together exceed the limit, or leave it unused. Callers send far
 * more than the limit. In any window of 4 s, no more than 1.5 times the allowed requests plus 5 may
 * arrive. A process that was suspended or restarted within the last 3 s is not counted.
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
  private static final long LIMIT_START_NANOS = 2_000 * MILLI;
  private static final long END_NANOS = 20_000 * MILLI;
  private static final long CONTACT_NANOS = 3_000 * MILLI;
  private static final long WINDOW_NANOS = 4_000 * MILLI;

  /** Time after its first answer with the limit from which a process is counted. */
  private static final long GRACE_NANOS = 500 * MILLI;

  private static final double OVERAGE = 1.5;
  private static final int SLACK = 5;
  private static final double MIN_UTILIZATION = 0.8;

  /** One process: its limits, its peers by last heartbeat, and the time until it is counted. */
  private static final class Process {
    private String name;
    private FleetLimits limits;
    private final Map<String, Long> lastHeartbeatNanos = new HashMap<>();
    private long pausedUntilNanos;
    private long uncountedUntilNanos;
    private long informedNanos = Long.MAX_VALUE;
    private int starts;

    private Process(String node) {
      name = node;
      limits = new FleetLimits(name);
    }

    private void restart(long nowNanos) {
      starts++;
      name = name.replaceAll("~.*", "") + "~" + starts;
      limits = new FleetLimits(name);
      lastHeartbeatNanos.clear();
      informedNanos = Long.MAX_VALUE;
      uncountedUntilNanos = nowNanos + CONTACT_NANOS;
    }

    private boolean isRunning(long nowNanos) {
      return nowNanos >= pausedUntilNanos;
    }

    private Set<String> sharers(long nowNanos) {
      Set<String> names = new HashSet<>();
      lastHeartbeatNanos.forEach(
          (peer, nanos) -> {
            if (nowNanos - nanos < ALIVE_NANOS) {
              names.add(peer);
            }
          });
      names.add(name);
      return names;
    }
  }

  /** Action that is due at a time. */
  private record Event(long atNanos, Runnable action) {}

  private static final class Simulation {
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

    private Simulation(int size, double perSecond, long seed, boolean hasFaults) {
      this.random = new SplittableRandom(seed);
      this.limit = new RequestLimit(perSecond);
      this.demandPerSecond = Math.max(8, 4 * perSecond / size);
      this.hasFaults = hasFaults;
      for (int i = 0; i < size; i++) {
        processes.add(new Process("p" + i));
      }
    }

    private void schedule(long delayNanos, Runnable action) {
      events.add(new Event(nowNanos + delayNanos, action));
    }

    private void run() {
      for (Process process : processes) {
        schedule(random.nextLong(HEARTBEAT_NANOS), () -> sendHeartbeat(process));
      }
      for (nowNanos = 0; nowNanos < END_NANOS; nowNanos += STEP_NANOS) {
        while (!events.isEmpty() && events.peek().atNanos() <= nowNanos) {
          events.poll().action().run();
        }
        processes.stream()
            .filter(process -> process.isRunning(nowNanos))
            .forEach(this::sendRequest);
        if (hasFaults && random.nextInt(400) == 0) {
          injectFault(processes.get(random.nextInt(processes.size())));
        }
      }
    }

    private void injectFault(Process process) {
      if (random.nextBoolean()) {
        process.restart(nowNanos);
      } else {
        process.pausedUntilNanos = nowNanos + random.nextLong(CONTACT_NANOS);
        process.uncountedUntilNanos = process.pausedUntilNanos + CONTACT_NANOS;
      }
    }

    private void sendHeartbeat(Process process) {
      schedule(HEARTBEAT_NANOS, () -> sendHeartbeat(process));
      if (!process.isRunning(nowNanos)) {
        return;
      }
      process.limits.setSharers(process.sharers(nowNanos), nowNanos);
      List<LimitReport> reports = process.limits.reports(nowNanos);
      String sender = process.name;
      for (Process other : processes) {
        if (other != process) {
          long delayNanos = random.nextLong(30 * MILLI);
          schedule(delayNanos, () -> receiveHeartbeat(other, sender, reports));
        }
      }
    }

    private void receiveHeartbeat(Process process, String sender, List<LimitReport> reports) {
      if (process.isRunning(nowNanos)) {
        process.lastHeartbeatNanos.put(sender, nowNanos);
        reports.forEach(report -> process.limits.applyReport(report, nowNanos));
      }
    }

    private void sendRequest(Process process) {
      double chance = demandPerSecond * STEP_NANOS / TimeUnit.SECONDS.toNanos(1);
      if (random.nextDouble() >= chance || !process.limits.takeTurn(UPSTREAM, nowNanos)) {
        return;
      }
      long sentNanos = nowNanos;
      schedule(random.nextLong(5 * MILLI), () -> arrive(process, sentNanos));
    }

    private void arrive(Process process, long sentNanos) {
      boolean isInformed = nowNanos - process.informedNanos >= GRACE_NANOS;
      boolean isUncounted = nowNanos < process.uncountedUntilNanos;
      arrivals += nowNanos > LIMIT_START_NANOS + CONTACT_NANOS ? 1 : 0;
      if (nowNanos > LIMIT_START_NANOS && isInformed && !isUncounted) {
        countedNanos.add(nowNanos);
      }
      RequestLimit stated = nowNanos > LIMIT_START_NANOS ? limit : null;
      long answerNanos = 50 * MILLI + random.nextLong(1_000 * MILLI);
      FleetLimits asking = process.limits;
      schedule(
          answerNanos,
          () -> {
            asking.recordAnswer(UPSTREAM, stated, sentNanos, nowNanos);
            if (stated != null && asking == process.limits) {
              process.informedNanos = Math.min(process.informedNanos, nowNanos);
            }
          });
    }

    /** Returns the maximum in any window that ends after all processes can have the reports. */
    private int maxInWindow() {
      int max = 0;
      for (int last = 0; last < countedNanos.size(); last++) {
        long endNanos = countedNanos.get(last);
        if (endNanos < LIMIT_START_NANOS + CONTACT_NANOS) {
          continue;
        }
        int count = 0;
        for (int i = last; i >= 0 && endNanos - countedNanos.get(i) < WINDOW_NANOS; i--) {
          count++;
        }
        max = Math.max(max, count);
      }
      return max;
    }

    private double utilization() {
      double seconds = (double) (END_NANOS - LIMIT_START_NANOS - CONTACT_NANOS) / 1e9;
      return arrivals / (limit.perSecond() * seconds);
    }
  }

  private static List<String> findExceeded(boolean hasFaults) {
    List<String> exceeded = new ArrayList<>();
    for (int size : SIZES) {
      for (double perSecond : LIMITS) {
        for (int seed = 0; seed < SEEDS; seed++) {
          Simulation simulation = new Simulation(size, perSecond, seed, hasFaults);
          simulation.run();
          double allowed = OVERAGE * perSecond * WINDOW_NANOS / 1e9 + SLACK;
          if (simulation.maxInWindow() > allowed) {
            exceeded.add(
                size
                    + " processes, "
                    + perSecond
                    + "/s, seed "
                    + seed
                    + ": "
                    + simulation.maxInWindow());
          }
        }
      }
    }
    return exceeded;
  }

  @Test
  void processesTogetherKeepTheLimitWithoutFaults() {
    assertThat(findExceeded(false), empty());
  }

  @Test
  void processesTogetherKeepTheLimitDuringRestartsAndSuspensions() {
    assertThat(findExceeded(true), empty());
  }

  @Test
  void theLimitIsUsedWhileThereIsDemand() {
    for (int size : SIZES) {
      for (double perSecond : LIMITS) {
        double[] utilization = new double[SEEDS];
        for (int seed = 0; seed < SEEDS; seed++) {
          Simulation simulation = new Simulation(size, perSecond, seed, false);
          simulation.run();
          utilization[seed] = simulation.utilization();
        }
        Arrays.sort(utilization);
        String what = size + " processes, " + perSecond + "/s";
        assertThat(what, utilization[SEEDS / 2], greaterThanOrEqualTo(MIN_UTILIZATION));
      }
    }
  }
}
