package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;

/**
 * Tests the lease of one domain with two processes, where the store is restored from an older copy
 * at any step.
 *
 * <p>The copy holds a former owner and a lower generation. If the generation alone were the fencing
 * number, engines would reject every order of the owner until the generation exceeds the former
 * one. The owner in the copy may also overlap with one whose lease of the former era is still
 * valid.
 */
class DomainLeasesEraTest {
  private static final String DOMAIN = "llm/d0";
  private static final int STEP_MS = 100;
  private static final int CHANGE_STEP = 40;
  private static final int RECONNECT_STEP = 70;
  private static final int STEPS = 150;

  /** Event that affects the first owner at {@link #CHANGE_STEP}. */
  private enum Change {
    NONE,
    KILL,
    LEAVE,
    DISCONNECT_AND_RECONNECT
  }

  /**
   * An outage of the store followed by a restore.
   *
   * @param atStep the step at which the store becomes unavailable
   * @param outageSteps the number of steps for which it is unavailable
   * @param ageMs the age of the copy that is restored, in milliseconds
   * @param keepsRemainingTimes true if members have as much time left as in the copy
   */
  private record Outage(int atStep, int outageSteps, int ageMs, boolean keepsRemainingTimes) {}

  /** Simulation of one change and one outage; collects the violated rules. */
  private static final class Simulation {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private long nowNanos = TimeUnit.HOURS.toNanos(1);
    private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
    private final FakeGroups store = new FakeGroups(() -> nowNanos);
    private final TreeMap<String, DomainLeases> processes = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> notifiedEras = new HashMap<>();
    private String lastHolder = "";
    private long highestFence;
    private long highestEpoch;
    private int heldSteps;

    Simulation() {
      for (String name : List.of("a", "b")) {
        Peers peers = new Peers(name);
        processes.put(
            name,
            new DomainLeases(
                store,
                channel.eventLoop(),
                () -> nowNanos,
                log,
                name,
                peers,
                () -> Set.of(DOMAIN)));
      }
      processes.values().forEach(DomainLeases::start);
    }

    private final class Peers implements DomainLeases.Peers {
      private final String self;

      Peers(String self) {
        this.self = self;
      }

      @Override
      public @Nullable Set<String> ownedDomains() {
        return processes.get(self.equals("a") ? "b" : "a").grantedDomains();
      }

      @Override
      public Set<String> names() {
        return Set.of(self.equals("a") ? "b" : "a");
      }

      @Override
      public int aliveCount() {
        return 2;
      }
    }

    private void step() {
      store.saveCopy();
      long nanos = TimeUnit.MILLISECONDS.toNanos(STEP_MS);
      nowNanos += nanos;
      channel.advanceTimeBy(nanos, TimeUnit.NANOSECONDS);
      channel.runScheduledPendingTasks();
      check();
    }

    private void check() {
      List<String> holders =
          processes.keySet().stream().filter(name -> processes.get(name).holds(DOMAIN)).toList();
      if (holders.size() > 1) {
        violations.add("two processes hold the lease");
      }
      if (holders.size() == 1) {
        checkNumbers(holders.get(0));
      }
    }

    private void checkNumbers(String holder) {
      heldSteps++;
      long fence = processes.get(holder).fencingNumber(DOMAIN);
      boolean isOutdated = holder.equals(lastHolder) ? fence < highestFence : fence <= highestFence;
      if (isOutdated) {
        violations.add("engines reject the orders of " + holder);
      }
      long epoch = processes.get(holder).nextEpoch(DOMAIN);
      if (epoch <= highestEpoch) {
        violations.add("formation number not higher than an earlier one");
      }
      lastHolder = holder;
      highestFence = Math.max(highestFence, fence);
      highestEpoch = Math.max(highestEpoch, epoch);
    }

    List<String> run(Change change, Outage outage) {
      for (int step = 0; step < STEPS; step++) {
        if (step == CHANGE_STEP) {
          applyChange(change, processes.firstKey());
        }
        if (step == RECONNECT_STEP && change == Change.DISCONNECT_AND_RECONNECT) {
          processes.keySet().forEach(store::reconnect);
          notifyEra();
        }
        if (step == outage.atStep()) {
          store.setUnavailable(true);
        }
        if (step == outage.atStep() + outage.outageSteps()) {
          store.restoreCopy(
              TimeUnit.MILLISECONDS.toNanos(outage.ageMs()), outage.keepsRemainingTimes());
          store.setUnavailable(false);
          notifyEra();
        }
        step();
      }
      if (!lastStepsAreHeld()) {
        violations.add("no process holds the lease at the end");
      }
      return violations;
    }

    /** Notifies each process that reaches the store once of a new era. */
    private void notifyEra() {
      processes.forEach(
          (name, leases) -> {
            if (!store.isDisconnected(name) && store.era() > notifiedEras.getOrDefault(name, 1L)) {
              notifiedEras.put(name, store.era());
              leases.noteEra();
            }
          });
    }

    private boolean lastStepsAreHeld() {
      int before = heldSteps;
      for (int i = 0; i < 30; i++) {
        step();
      }
      return heldSteps > before;
    }

    private void applyChange(Change change, String fallback) {
      String owner = lastHolder.isEmpty() ? fallback : lastHolder;
      switch (change) {
        case KILL, DISCONNECT_AND_RECONNECT -> store.disconnect(owner);
        case LEAVE -> processes.get(owner).leave();
        default -> {
          // The owner is not affected.
        }
      }
    }
  }

  @Test
  void restoreAtAnyStepKeepsOneHolderAndRisingNumbers() {
    List<String> failures = new ArrayList<>();
    for (Change change : Change.values()) {
      for (int atStep = 5; atStep < 100; atStep++) {
        for (int outageSteps : new int[] {0, 1, 4, 20}) {
          for (int ageMs : new int[] {300, 1_000, 2_500, 6_000}) {
            for (boolean keepsRemainingTimes : new boolean[] {false, true}) {
              Outage outage = new Outage(atStep, outageSteps, ageMs, keepsRemainingTimes);
              Set<String> violations = Set.copyOf(new Simulation().run(change, outage));
              if (!violations.isEmpty()) {
                failures.add(change + " " + outage + ": " + violations);
              }
            }
          }
        }
      }
    }
    assertThat(failures.size() + " outages", failures, empty());
  }
}
