package org.shoreroad.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.Box;
import org.shoreroad.LoadName;
import org.shoreroad.state.DissolveReason;
import org.shoreroad.state.Generation;

/**
 * The owner's view of one generation and its decisions.
 *
 * <p>While the generation stands: every box is brought to hold exactly this generation, and work
 * may be sent only while fresh evidence shows every box ready. Once it is dissolved: running
 * requests are finished where the reason allows it, everything of the generation is unloaded, and a
 * box is proposed for release only when it was read back as holding nothing of it. A box that can't
 * be read back stays bound, however long, so that no box is ever in two replicas. Where the engine
 * ignores fencing numbers, the box also stays bound until every process that does not yet know of
 * the dissolving has lost the right to order loads.
 *
 * <p>The class performs no input or output and is not thread-safe: the owner's thread calls it.
 *
 * @since 0.1
 */
public final class ReplicaController {
  private final ReplicaTiming timing;
  private final Supplier<String> orderNumbers;
  private final long ownedSinceNanos;
  private final Map<String, BoxEvidence> evidenceByBox = new HashMap<>();
  private final Map<String, Long> orderedAtNanos = new HashMap<>();
  private Generation generation;
  private long dissolvedSeenNanos;
  private long proposedAtNanos;
  private boolean hasProposed;
  private boolean wasWhole;

  /**
   * Creates the view of a generation of which no box was seen yet.
   *
   * @param generation the generation, not null
   * @param timing the times, not null
   * @param orderNumbers gives a number for each load order, unique for ever
   * @param nowNanos the monotonic time
   */
  public ReplicaController(
      Generation generation, ReplicaTiming timing, Supplier<String> orderNumbers, long nowNanos) {
    this.generation = generation;
    this.timing = timing;
    this.orderNumbers = orderNumbers;
    this.ownedSinceNanos = nowNanos;
    this.dissolvedSeenNanos = nowNanos;
    for (Box box : generation.boxes()) {
      evidenceByBox.put(box.name(), BoxEvidence.of(nowNanos));
    }
  }

  /**
   * What every box of a whole replica showed: its engine's start and its load.
   *
   * @param headLoadName the name that requests have to use
   * @param bootIds the engine's start, by box name
   * @param loadNames the load, by box name
   */
  public record ReplicaSnapshot(
      String headLoadName, Map<String, String> bootIds, Map<String, String> loadNames) {
    /** Copies the maps. */
    public ReplicaSnapshot {
      bootIds = Map.copyOf(bootIds);
      loadNames = Map.copyOf(loadNames);
    }
  }

  /** Returns the generation as the log last showed it. */
  public Generation generation() {
    return generation;
  }

  /** Takes in the generation as the log now shows it. */
  public void setGeneration(Generation next, long nowNanos) {
    if (generation.isStanding() && !next.isStanding()) {
      dissolvedSeenNanos = nowNanos;
      hasProposed = false;
      orderedAtNanos.clear();
    }
    generation = next;
  }

  /** Takes in the answer to a probe. */
  public void recordReport(String box, BoxReport report, long sentNanos) {
    evidenceByBox.computeIfPresent(box, (b, e) -> e.withReport(report, sentNanos));
  }

  /** Takes in that a probe failed. */
  public void recordFailure(String box, long sentNanos) {
    evidenceByBox.computeIfPresent(box, (b, e) -> e.withFailure(sentNanos));
  }

  /**
   * Returns what the boxes show, if the generation stands and each of them is there and ready.
   *
   * @param nowNanos the monotonic time
   * @return the wholeness, or empty if anything is missing or not fresh
   */
  public Optional<ReplicaSnapshot> findFreshSnapshot(long nowNanos) {
    return generation.isStanding()
        ? findReady(evidence -> evidence.isFresh(nowNanos, timing.evidenceNanos()))
        : Optional.empty();
  }

  /** Returns until when the evidence of every box counts, if none fails before. */
  public long evidenceUntilNanos() {
    return evidenceByBox.values().stream()
            .mapToLong(BoxEvidence::sentNanos)
            .reduce((a, b) -> a - b < 0 ? a : b)
            .orElse(ownedSinceNanos)
        + timing.evidenceNanos();
  }

  /**
   * Returns true if every box answered a probe sent at this time or later and shows the same start
   * and load as before: the replica was whole all the while.
   *
   * @param before what the boxes showed when the work was sent
   * @param sinceNanos the earliest time of sending that counts
   */
  public boolean isUnchangedSince(ReplicaSnapshot before, long sinceNanos) {
    return findReady(e -> !e.hasFailedSince() && e.sentNanos() - sinceNanos >= 0)
        .filter(before::equals)
        .isPresent();
  }

  /**
   * Returns true if the replica that work was sent to is no more: a box shows another start or
   * load, or has been silent for so long that it counts as lost.
   *
   * <p>Evidence that is merely old, or one probe that failed, breaks nothing: it keeps new work and
   * the ends of answers back until the box answers again.
   */
  public boolean isBroken(ReplicaSnapshot before, long nowNanos) {
    for (Box box : generation.boxes()) {
      BoxEvidence evidence = evidenceOf(box);
      BoxReport report = evidence.report();
      boolean isOther =
          report != null
              && !(report.bootId().equals(before.bootIds().get(box.name()))
                  && isReady(report, before.loadNames().getOrDefault(box.name(), "")));
      if (isOther || evidence.silentNanos(nowNanos) > timing.lostNanos()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the last evidence of a box. */
  public Optional<BoxEvidence> evidence(String box) {
    return Optional.ofNullable(evidenceByBox.get(box));
  }

  /**
   * Decides what is to be done now.
   *
   * @param nowNanos the monotonic time
   * @param mayOrder whether this process is in touch with the log, without which it orders no load
   * @param ownRunning how many requests this process has running on the generation
   * @return the actions, in order
   */
  public List<ReplicaAction> decide(long nowNanos, boolean mayOrder, int ownRunning) {
    List<ReplicaAction> actions = new ArrayList<>();
    if (generation.isStanding()) {
      decideStanding(nowNanos, mayOrder, actions);
    } else {
      decideDissolved(nowNanos, ownRunning, actions);
    }
    return actions;
  }

  private void decideStanding(long nowNanos, boolean mayOrder, List<ReplicaAction> actions) {
    wasWhole |= findFreshSnapshot(nowNanos).isPresent();
    DissolveReason reason = findDissolveReason(nowNanos);
    if (reason != null) {
      if (mayPropose(nowNanos)) {
        actions.add(new ReplicaAction.ProposeDissolve(reason));
      }
      return;
    }
    for (int rank = 0; rank < generation.boxes().size(); rank++) {
      Box box = generation.boxes().get(rank);
      BoxReport report = freshReport(box, nowNanos);
      if (report != null) {
        unloadForeign(box, report, nowNanos, actions);
        if (mayOrder && ownLoad(report) == null && mayOrderAgain("load/" + box.name(), nowNanos)) {
          LoadName name = new LoadName(generation.model(), generation.number(), orderNumbers.get());
          actions.add(new ReplicaAction.OrderLoad(box, name, rank));
        }
      }
    }
  }

  private @Nullable DissolveReason findDissolveReason(long nowNanos) {
    for (Box box : generation.boxes()) {
      BoxEvidence evidence = evidenceOf(box);
      if (evidence.silentNanos(nowNanos) > timing.lostNanos()) {
        return DissolveReason.BOX_LOST;
      }
    }
    boolean isLate = nowNanos - ownedSinceNanos > timing.loadNanos();
    return isLate && !wasWhole ? DissolveReason.LOAD_FAILED : null;
  }

  /** Orders out what an earlier generation, or a late order, left on the box. */
  private void unloadForeign(
      Box box, BoxReport report, long nowNanos, List<ReplicaAction> actions) {
    String kept = ownLoad(report);
    for (BoxReport.Load load : report.loads()) {
      boolean isOlder = generationOf(load.name()) <= generation.number();
      if (!load.name().equals(kept)
          && isOlder
          && mayOrderAgain("unload/" + box.name() + "/" + load.name(), nowNanos)) {
        actions.add(new ReplicaAction.OrderUnload(box, load.name()));
      }
    }
  }

  private void decideDissolved(long nowNanos, int ownRunning, List<ReplicaAction> actions) {
    boolean isDrainOver = nowNanos - dissolvedSeenNanos > timing.drainNanos();
    if (isGraceful() && !isDrainOver && (ownRunning > 0 || isAnyRunning())) {
      return;
    }
    for (Box box : generation.boxes()) {
      BoxReport report = freshReport(box, nowNanos);
      if (report == null || !generation.heldBoxes().contains(box.name())) {
        continue;
      }
      List<BoxReport.Load> own =
          report.loads().stream()
              .filter(l -> LoadName.isOf(l.name(), generation.number()))
              .toList();
      for (BoxReport.Load load : own) {
        if (mayOrderAgain("unload/" + box.name() + "/" + load.name(), nowNanos)) {
          actions.add(new ReplicaAction.OrderUnload(box, load.name()));
        }
      }
      boolean isQuarantined = nowNanos - dissolvedSeenNanos < timing.quarantineNanos();
      if (own.isEmpty() && !isQuarantined && mayOrderAgain("release/" + box.name(), nowNanos)) {
        actions.add(new ReplicaAction.ProposeRelease(box.name()));
      }
    }
  }

  private boolean isGraceful() {
    DissolveReason reason = generation.dissolved();
    return reason != null && reason.isGraceful();
  }

  /** Returns true if an engine says that requests run on this generation, whoever sent them. */
  private boolean isAnyRunning() {
    return evidenceByBox.values().stream()
        .map(BoxEvidence::report)
        .filter(r -> r != null)
        .flatMap(r -> r.loads().stream())
        .anyMatch(l -> LoadName.isOf(l.name(), generation.number()) && l.runningCount() > 0);
  }

  private Optional<ReplicaSnapshot> findReady(Predicate<BoxEvidence> isGood) {
    Map<String, String> bootIds = new HashMap<>();
    Map<String, String> loadNames = new HashMap<>();
    for (Box box : generation.boxes()) {
      BoxEvidence evidence = evidenceOf(box);
      BoxReport report = evidence.report();
      if (report == null || !isGood.test(evidence)) {
        return Optional.empty();
      }
      String load = ownLoad(report);
      if (load == null || !isReady(report, load)) {
        return Optional.empty();
      }
      bootIds.put(box.name(), report.bootId());
      loadNames.put(box.name(), load);
    }
    String headLoad = loadNames.get(generation.head().name());
    return headLoad == null
        ? Optional.empty()
        : Optional.of(new ReplicaSnapshot(headLoad, bootIds, loadNames));
  }

  /** Returns the name of this generation's load on a box; of several, the least by name. */
  private @Nullable String ownLoad(BoxReport report) {
    return report.loads().stream()
        .map(BoxReport.Load::name)
        .filter(name -> LoadName.isOf(name, generation.number()))
        .min(String::compareTo)
        .orElse(null);
  }

  private static boolean isReady(BoxReport report, String loadName) {
    return report.loads().stream().anyMatch(l -> l.isReady() && l.name().equals(loadName));
  }

  private @Nullable BoxReport freshReport(Box box, long nowNanos) {
    BoxEvidence evidence = evidenceOf(box);
    return evidence.isFresh(nowNanos, timing.evidenceNanos()) ? evidence.report() : null;
  }

  private BoxEvidence evidenceOf(Box box) {
    return evidenceByBox.getOrDefault(box.name(), BoxEvidence.of(ownedSinceNanos));
  }

  private boolean mayOrderAgain(String what, long nowNanos) {
    Long last = orderedAtNanos.get(what);
    if (last != null && nowNanos - last < timing.orderNanos()) {
      return false;
    }
    orderedAtNanos.put(what, nowNanos);
    return true;
  }

  private boolean mayPropose(long nowNanos) {
    if (hasProposed && nowNanos - proposedAtNanos < timing.orderNanos()) {
      return false;
    }
    hasProposed = true;
    proposedAtNanos = nowNanos;
    return true;
  }

  private static long generationOf(String loadName) {
    try {
      return LoadName.parse(loadName).generation();
    } catch (IllegalArgumentException e) {
      return Long.MAX_VALUE;
    }
  }
}
