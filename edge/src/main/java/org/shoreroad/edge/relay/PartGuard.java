package org.shoreroad.edge.relay;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.shoreroad.edge.EventLog;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.quarantine.PartQuarantine;
import org.shoreroad.quarantine.PartReport;
import org.shoreroad.quarantine.PromptPart;

/**
 * Keeps requests whose prompts have a part that crashes upstreams from being sent to more of them.
 *
 * <p>Checked wherever a request can reach an upstream; updated by the exchanges of this process and
 * by the reports of other processes. The parts of a request are read only while a crash under any
 * part is known. Used on the event loop.
 *
 * @since 0.2
 */
public final class PartGuard {
  private final PartQuarantine quarantine = new PartQuarantine();
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final RelayCounters counters;
  private Runnable listener = () -> {};
  private Consumer<PartReport> recorder = report -> {};
  private Runnable changeListener = () -> {};
  private Predicate<PromptPart> trialCheck = part -> true;
  private IntSupplier settleMs = () -> PartQuarantine.DEFAULT_SETTLE_MS;
  private Runnable updateScheduler = () -> {};

  /** Creates a guard that refuses nothing. */
  PartGuard(LongSupplier clockNanos, EventLog log, RelayCounters counters) {
    this.clockNanos = clockNanos;
    this.log = log;
    this.counters = counters;
  }

  /** Sets the callback for a quarantine that begins, which ends open requests. */
  void setListener(Runnable newListener) {
    listener = newListener;
  }

  /**
   * Sets the callback for parts whose quarantine this process has begun or ended, so that the state
   * survives a restart of all processes.
   *
   * @param newRecorder stores the report, not null
   */
  public void setRecorder(Consumer<PartReport> newRecorder) {
    recorder = newRecorder;
  }

  /** Sets the callback for crashes and answers that the other processes must learn of soon. */
  public void setChangeListener(Runnable newListener) {
    changeListener = newListener;
  }

  /**
   * Sets the condition for a trial of a quarantined part.
   *
   * @param newCheck true for the one process that tries the part, not null
   */
  public void setTrialCheck(Predicate<PromptPart> newCheck) {
    trialCheck = newCheck;
  }

  /**
   * Sets the time in which each process learns what requests the others had at an upstream that has
   * crashed.
   *
   * @param newSettleMs returns the time in milliseconds, not null
   */
  public void setSettleMs(IntSupplier newSettleMs) {
    settleMs = newSettleMs;
  }

  /** Sets the callback for a crash whose evidence counts after {@link #settleMs()}. */
  void setUpdateScheduler(Runnable newScheduler) {
    updateScheduler = newScheduler;
  }

  /** Returns the age from which a crash counts as evidence, in milliseconds. */
  int settleMs() {
    return settleMs.getAsInt();
  }

  /** Returns the reports that are due to be sent to the other processes. */
  public List<PartReport> reports() {
    return quarantine.reports(clockNanos.getAsLong());
  }

  /** Applies the reports of another process; returns true if they hold anything new. */
  public boolean applyReports(Collection<PartReport> reports) {
    if (reports.isEmpty() || !quarantine.applyReports(reports, clockNanos.getAsLong())) {
      return false;
    }
    // Only what other processes have quarantined takes effect here; own decisions wait for the
    // answers that this process is receiving.
    begin(quarantine.update(part -> true, clockNanos.getAsLong()), "peer");
    updateScheduler.run();
    return true;
  }

  /** Returns the number of quarantined parts. */
  public int quarantinedCount() {
    return quarantine.quarantinedCount();
  }

  /** Returns true while a part has several crashes that are not refuted, or is quarantined. */
  boolean hasSuspects() {
    return !quarantine.isEmpty() && quarantine.hasSuspects();
  }

  /**
   * Decides again which parts are quarantined.
   *
   * @param beingWritten the parts of requests that an upstream has been answering for some time
   */
  void update(Set<PromptPart> beingWritten) {
    quarantine.setSettleMs(settleMs());
    begin(quarantine.update(beingWritten::contains, clockNanos.getAsLong()), "crash");
  }

  private void begin(List<Set<PromptPart>> groups, String source) {
    for (Set<PromptPart> group : groups) {
      counters.count("shoreroad.parts.quarantined", source);
      log.write("part_quarantined", "parts", group, "by", source, "crashes", describe(group));
      for (PromptPart part : group) {
        if (quarantine.isOwn(part)) {
          quarantine.report(part, clockNanos.getAsLong()).ifPresent(recorder);
        }
      }
    }
    if (!groups.isEmpty()) {
      listener.run();
      changeListener.run();
    }
  }

  /** Returns the upstreams that crashed under the parts, in the form for log lines. */
  List<String> describe(Set<PromptPart> group) {
    return group.stream()
        .flatMap(part -> quarantine.report(part, clockNanos.getAsLong()).stream())
        .flatMap(report -> report.crashes().stream())
        .filter(crash -> !crash.isRefuted())
        .map(crash -> crash.upstream().toString())
        .distinct()
        .toList();
  }

  /** Returns the quarantined parts because of which a request is refused. */
  Optional<Set<PromptPart>> findQuarantined(Supplier<Set<PromptPart>> parts) {
    return quarantine.isNothingQuarantined()
        ? Optional.empty()
        : quarantine.findQuarantined(parts.get());
  }

  /** Returns true if this process may try one request with these quarantined parts now. */
  boolean takeTrial(Set<PromptPart> group) {
    boolean isTaken =
        group.stream().allMatch(trialCheck) && quarantine.takeTrial(group, clockNanos.getAsLong());
    if (isTaken) {
      counters.count("shoreroad.parts.tried", "trial");
      log.write("part_tried", "parts", group);
    }
    return isTaken;
  }

  /**
   * Records that an upstream crashed while a request was about to begin there, or had just begun.
   *
   * @param request the first half of the fingerprint of the request
   */
  void recordCrash(Set<PromptPart> parts, Incarnation upstream, long request) {
    if (!parts.isEmpty()) {
      quarantine.recordCrash(parts, upstream, request, clockNanos.getAsLong());
      changeListener.run();
      updateScheduler.run();
    }
  }

  /** Records that an upstream has answered a request, or has been answering it for long enough. */
  void recordAnswer(Supplier<Set<PromptPart>> parts) {
    if (quarantine.isEmpty()) {
      return;
    }
    List<PartReport> released = quarantine.recordAnswer(parts.get(), clockNanos.getAsLong());
    for (PartReport report : released) {
      counters.count("shoreroad.parts.released", "answered");
      log.write("part_released", "part", report.part());
      recorder.accept(report);
      changeListener.run();
    }
  }
}
