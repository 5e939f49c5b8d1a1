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
 * The lease of one domain that passes between two processes, while the store comes back from an
 * older copy at each step of the way.
 *
 * <p>A copy holds a former owner and a lower generation. With the generation as the fencing number
 * engines reject every order of the owner until the generation has grown past the former one, and
 * an owner by the copy meets one that still goes by its lease of the former era.
 */
class DomainLeasesEraTest {
  private static final String DOMAIN = "llm/d0";
  private static final int STEP_MS = 100;
  private static final int CHANGE_STEP = 40;
  private static final int BACK_STEP = 70;
  private static final int STEPS = 150;

  /** What happens to the first owner at the step of the change. */
  private enum Change {
    NONE,
    KILL,
    LEAVE,
    CUT_FOR_A_WHILE
  }

  /**
   * One drill.
   *
   * @param atStep when the store goes away
   * @param awaySteps how long it is away
   * @param ageMs how old the copy is when the store comes back, in milliseconds
   * @param doTimesWait whether members have as much time left as in the copy
   */
  private record Drill(int atStep, int awaySteps, int ageMs, boolean doTimesWait) {}

  /** One play of a change and a drill; collects what went wrong. */
  private static final class Play {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private long nowNanos = TimeUnit.HOURS.toNanos(1);
    private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
    private final FakeGroups store = new FakeGroups(() -> nowNanos);
    private final TreeMap<String, DomainLeases> processes = new TreeMap<>();
    private final List<String> faults = new ArrayList<>();
    private final Map<String, Long> toldEras = new HashMap<>();
    private String lastHolder = "";
    private long highestFence;
    private long highestEpoch;
    private int heldSteps;

    Play() {
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
        faults.add("two holders");
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
        faults.add("engines reject the orders of " + holder);
      }
      long epoch = processes.get(holder).nextEpoch(DOMAIN);
      if (epoch <= highestEpoch) {
        faults.add("a formation bears the number of an earlier one");
      }
      lastHolder = holder;
      highestFence = Math.max(highestFence, fence);
      highestEpoch = Math.max(highestEpoch, epoch);
    }

    List<String> run(Change change, Drill drill) {
      for (int step = 0; step < STEPS; step++) {
        if (step == CHANGE_STEP) {
          begin(change, processes.firstKey());
        }
        if (step == BACK_STEP && change == Change.CUT_FOR_A_WHILE) {
          processes.keySet().forEach(store::reconnect);
          tellEra();
        }
        if (step == drill.atStep()) {
          store.setUnavailable(true);
        }
        if (step == drill.atStep() + drill.awaySteps()) {
          store.restoreCopy(TimeUnit.MILLISECONDS.toNanos(drill.ageMs()), drill.doTimesWait());
          store.setUnavailable(false);
          tellEra();
        }
        step();
      }
      if (!lastStepsAreHeld()) {
        faults.add("nobody holds the domain at the end");
      }
      return faults;
    }

    /** Tells processes that reach the store of a new era, each once. */
    private void tellEra() {
      processes.forEach(
          (name, leases) -> {
            if (!store.isDisconnected(name) && store.era() > toldEras.getOrDefault(name, 1L)) {
              toldEras.put(name, store.era());
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

    private void begin(Change change, String fallback) {
      String owner = lastHolder.isEmpty() ? fallback : lastHolder;
      switch (change) {
        case KILL, CUT_FOR_A_WHILE -> store.disconnect(owner);
        case LEAVE -> processes.get(owner).leave();
        default -> {
          // The domain stays where it is.
        }
      }
    }
  }

  @Test
  void aDrillAtAnyStepLeavesOneHolderWithHigherNumbers() {
    List<String> broken = new ArrayList<>();
    for (Change change : Change.values()) {
      for (int atStep = 5; atStep < 100; atStep++) {
        for (int awaySteps : new int[] {0, 1, 4, 20}) {
          for (int ageMs : new int[] {300, 1_000, 2_500, 6_000}) {
            for (boolean doTimesWait : new boolean[] {false, true}) {
              Drill drill = new Drill(atStep, awaySteps, ageMs, doTimesWait);
              Set<String> faults = Set.copyOf(new Play().run(change, drill));
              if (!faults.isEmpty()) {
                broken.add(change + " " + drill + ": " + faults);
              }
            }
          }
        }
      }
    }
    assertThat(broken.size() + " drills", broken, empty());
  }
}
