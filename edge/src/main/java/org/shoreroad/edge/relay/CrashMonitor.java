package org.shoreroad.edge.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.edge.sync.BoundedMap;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.quarantine.CrashSuspicion;
import org.shoreroad.quarantine.RequestFingerprint;
import org.shoreroad.quarantine.SuspectedCrashes;

/**
 * Finds out which upstreams have ended, and records the crashes of the requests that they had.
 *
 * <p>An upstream is checked when requests have left it without a proper answer: at once if a
 * connection has ended, and again later, since an upstream may close a connection, send bytes that
 * form no answer or fall silent some time before its process ends. Nothing is checked while no
 * request fails. Used on the event loop.
 *
 * @since 0.2
 */
public final class CrashMonitor {
  /**
   * Interval of checks until it is known whether an upstream runs, and the age from which a
   * connection to it shows that: a process that ends may close some sockets before it stops
   * listening.
   */
  private static final int CHECK_INTERVAL_MS = 100;

  private static final long MIN_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(CHECK_INTERVAL_MS);

  /** Interval of checks while an upstream is not reached, or no check is possible. */
  private static final int UNCLEAR_INTERVAL_MS = 300;

  /** Times after the last failed request at which an upstream that runs is checked again. */
  private static final int[] FOLLOW_UPS_MS = {1_000, 3_000};

  /** Checks in turn without a connection after which an upstream counts as ended. */
  private static final int UNREACHED_CHECKS = 3;

  /** Time after the last failed request at which an unknown outcome is given up. */
  private static final long GIVE_UP_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Longest time for which a request is held back until its upstreams were checked. */
  private static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private static final int MAX_BOXES = 1_024;

  private final SuspectedCrashes suspicions = new SuspectedCrashes();
  private final Map<Incarnation, Watch> watches = new HashMap<>();

  /** The upstreams that requests left lately without a proper answer, by address. */
  private final Map<String, FleetBox> boxes = new BoundedMap<>(MAX_BOXES);

  private final LongSupplier clockNanos;
  private final RepeatingTimer timer;
  private final EventLog log;
  private final RelayCounters counters;
  private final RequestQuarantine quarantine;
  private final PartGuard partGuard;
  private EndCheck endCheck = EndCheck.ASSUME_ENDED;

  /** Checks of one upstream. */
  private static final class Watch {
    private final FleetBox box;
    private long suspectedNanos;
    private int followUps;
    private int unreachedChecks;
    private long checkedNanos = Long.MIN_VALUE / 2;
    private long dueNanos;
    private int scheduledCount;
    private boolean isScheduled;
    private boolean isChecking;

    /** Creates a watch without later checks, which {@link #watchFrom} asks for. */
    Watch(FleetBox box, long nowNanos) {
      this.box = box;
      this.suspectedNanos = nowNanos;
      this.followUps = FOLLOW_UPS_MS.length;
    }
  }

  /** Creates a monitor that takes each upstream for ended that breaks a request off. */
  CrashMonitor(
      LongSupplier clockNanos,
      RepeatingTimer timer,
      EventLog log,
      RelayCounters counters,
      RequestQuarantine quarantine,
      PartGuard partGuard) {
    this.clockNanos = clockNanos;
    this.timer = timer;
    this.log = log;
    this.counters = counters;
    this.quarantine = quarantine;
    this.partGuard = partGuard;
  }

  /** Sets the check whether an upstream has ended. */
  public void setEndCheck(EndCheck newCheck) {
    endCheck = newCheck;
  }

  /** Records that a request has left an upstream without a proper answer. */
  void suspect(FleetBox box, CrashSuspicion suspicion) {
    long nowNanos = clockNanos.getAsLong();
    if (suspicions.add(suspicion, nowNanos)) {
      record(List.of(suspicion));
      return;
    }
    boxes.put(box.address(), box);
    switch (suspicion.kind()) {
      case BROKEN_OFF -> {
        watchFrom(box, nowNanos);
        checkIfDue(box);
      }
      case UNANSWERED -> scheduleNext(watchFrom(box, nowNanos));
      case UNFRAMED -> {
        // The check opens a connection that the next request needs anyway.
        checkIfDue(box);
        schedule(watchOf(box), CHECK_INTERVAL_MS);
      }
      default -> {}
    }
  }

  private Watch watchFrom(FleetBox box, long nowNanos) {
    Watch watch = watchOf(box);
    watch.suspectedNanos = nowNanos;
    watch.followUps = 0;
    return watch;
  }

  private void checkIfDue(FleetBox box) {
    Watch watch = watchOf(box);
    if (clockNanos.getAsLong() - watch.checkedNanos >= MIN_AGE_NANOS) {
      check(watch);
    } else {
      scheduleNext(watch);
    }
  }

  /** Checks the upstream at an address, since an idle connection to it has ended. */
  public void onIdleConnectionEnded(String address) {
    FleetBox box = boxes.get(address);
    if (box != null && suspicions.isSuspected(box.incarnation())) {
      checkIfDue(box);
    }
  }

  /** Checks an upstream that has refused a connection or was replaced on the list. */
  public void checkIfSuspected(FleetBox box) {
    if (suspicions.isSuspected(box.incarnation())) {
      check(watchOf(box));
    }
  }

  private Watch watchOf(FleetBox box) {
    return watches.computeIfAbsent(
        box.incarnation(), added -> new Watch(box, clockNanos.getAsLong()));
  }

  /** Checks an upstream that was removed from the list, unless its end was planned. */
  public void onRemoved(FleetBox box) {
    if (box.isLeaving()) {
      suspicions.forget(box.incarnation());
      watches.remove(box.incarnation());
    } else if (suspicions.isSuspected(box.incarnation())) {
      // The entry that replaces it is applied after this call.
      timer.once(0, "upstream ends", () -> checkIfSuspected(box));
    }
  }

  /**
   * Returns true if the request is to be held back, since it may have crashed as many upstreams as
   * a quarantine needs, and these are being checked.
   */
  boolean isUndecided(Supplier<RequestFingerprint> request) {
    if (suspicions.isEmpty() && quarantine.isEmpty()) {
      return false;
    }
    RequestFingerprint fingerprint = request.get();
    Set<Incarnation> suspected =
        suspicions.undecided(fingerprint, HOLD_NANOS, clockNanos.getAsLong());
    return quarantine.isUndecided(fingerprint, suspected);
  }

  private void check(Watch watch) {
    if (watch.isChecking) {
      return;
    }
    watch.isChecking = true;
    watch.isScheduled = false;
    counters.count("shoreroad.upstreams.end_checks", watch.box.service());
    long startedNanos = clockNanos.getAsLong();
    watch.checkedNanos = startedNanos;
    endCheck.check(watch.box, outcome -> onOutcome(watch, startedNanos, outcome));
  }

  private void onOutcome(Watch watch, long startedNanos, EndCheck.Outcome outcome) {
    watch.isChecking = false;
    boolean isUnreached = outcome == EndCheck.Outcome.UNREACHED;
    watch.unreachedChecks = isUnreached ? watch.unreachedChecks + 1 : 0;
    if (outcome == EndCheck.Outcome.ENDED || watch.unreachedChecks >= UNREACHED_CHECKS) {
      recordEnd(watch.box, outcome);
      return;
    }
    if (outcome == EndCheck.Outcome.RUNNING) {
      dismiss(watch, startedNanos - MIN_AGE_NANOS, "running");
    }
    scheduleNext(watch);
  }

  private void dismiss(Watch watch, long runningNanos, String reason) {
    Incarnation upstream = watch.box.incarnation();
    int dismissed = suspicions.dismiss(upstream, runningNanos);
    if (dismissed > 0) {
      counters.count("shoreroad.crashes.uncounted", reason);
      log.write("crash_uncounted", "upstream", upstream, "requests", dismissed, "reason", reason);
    }
  }

  private void recordEnd(FleetBox box, EndCheck.Outcome outcome) {
    watches.remove(box.incarnation());
    List<CrashSuspicion> crashed = suspicions.takeEnded(box.incarnation(), clockNanos.getAsLong());
    counters.count("shoreroad.upstreams.ended", outcome.name().toLowerCase(Locale.ROOT));
    log.write(
        "upstream_ended",
        "upstream",
        box.incarnation(),
        "service",
        box.service(),
        "by",
        outcome,
        "requests",
        crashed.size());
    record(crashed);
  }

  private void record(List<CrashSuspicion> crashed) {
    for (CrashSuspicion suspicion : crashed) {
      quarantine.recordCrash(suspicion.request(), suspicion.crash());
      partGuard.recordCrash(
          suspicion.parts(), suspicion.crash().upstream(), suspicion.request().high());
    }
  }

  private void scheduleNext(Watch watch) {
    Incarnation upstream = watch.box.incarnation();
    long sinceNanos = clockNanos.getAsLong() - watch.suspectedNanos;
    if (suspicions.isUndecided(upstream) && sinceNanos < GIVE_UP_NANOS) {
      boolean isUnclear = watch.unreachedChecks > 0 || sinceNanos > HOLD_NANOS;
      schedule(watch, isUnclear ? UNCLEAR_INTERVAL_MS : CHECK_INTERVAL_MS + 1);
    } else if (watch.followUps < FOLLOW_UPS_MS.length && suspicions.isSuspected(upstream)) {
      long dueMs = FOLLOW_UPS_MS[watch.followUps++];
      schedule(watch, Math.max(1, dueMs - TimeUnit.NANOSECONDS.toMillis(sinceNanos)));
    } else {
      dismiss(watch, clockNanos.getAsLong(), "unknown");
      watches.remove(upstream, watch);
    }
  }

  /** Schedules a check, unless an earlier one is scheduled. */
  private void schedule(Watch watch, long delayMs) {
    long dueNanos = clockNanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(delayMs);
    if (watch.isChecking || (watch.isScheduled && watch.dueNanos - dueNanos <= 0)) {
      return;
    }
    watch.isScheduled = true;
    watch.dueNanos = dueNanos;
    int number = ++watch.scheduledCount;
    timer.once(
        delayMs,
        "upstream ends",
        () -> {
          if (watch.isScheduled && number == watch.scheduledCount) {
            check(watch);
          }
        });
  }
}
