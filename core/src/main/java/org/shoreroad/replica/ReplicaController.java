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
 * State of one generation as its owner sees it, and the owner's decisions.
 *
 * <p>While the generation is standing, the controller orders loads and unloads until every box has
 * exactly this generation loaded. Requests may be sent only while fresh evidence shows every box
 * ready.
 *
 * <p>After the generation is dissolved, running requests are finished if the reason allows it, all
 * loads of the generation are unloaded, and a box is proposed for release only when a probe shows
 * no load of the generation on it. A box that doesn't answer probes stays bound without a time
 * limit, so that no box is ever in two replicas. Since an engine may ignore fencing numbers, the
 * box also stays bound until every process that hasn't read the dissolution from the log has lost
 * the right to order loads.
 *
 * <p>This class performs no input or output. Not thread-safe: confined to the owner's thread.
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
  private boolean wasReady;

  /**
   * Creates a controller without any evidence of the boxes.
   *
   * @param generation the generation, not null
   * @param timing the timeouts and intervals, not null
   * @param orderNumbers the source of load order numbers, which must never repeat
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
   * Boot ids and load names of all boxes of a ready replica.
   *
   * @param headLoadName the load name that requests have to use
   * @param bootIds the boot id of the engine, by box name
   * @param loadNames the load name, by box name
   */
  public record ReplicaSnapshot(
      String headLoadName, Map<String, String> bootIds, Map<String, String> loadNames) {
    /** Copies the maps. */
    public ReplicaSnapshot {
      bootIds = Map.copyOf(bootIds);
      loadNames = Map.copyOf(loadNames);
    }
  }

  /** Returns the generation as last read from the log. */
  public Generation generation() {
    return generation;
  }

  /** Sets the generation as read from the log. */
  public void setGeneration(Generation next, long nowNanos) {
    if (generation.isStanding() && !next.isStanding()) {
      dissolvedSeenNanos = nowNanos;
      hasProposed = false;
      orderedAtNanos.clear();
    }
    generation = next;
  }

  /** Records the answer to a probe. */
  public void recordReport(String box, BoxReport report, long sentNanos) {
    evidenceByBox.computeIfPresent(box, (b, e) -> e.withReport(report, sentNanos));
  }

  /** Records a failed probe. */
  public void recordFailure(String box, long sentNanos) {
    evidenceByBox.computeIfPresent(box, (b, e) -> e.withFailure(sentNanos));
  }

  /**
   * Returns a snapshot of the boxes if the generation is standing and every box is ready.
   *
   * @param nowNanos the monotonic time
   * @return the snapshot, or empty if a load is missing or the evidence of a box isn't fresh
   */
  public Optional<ReplicaSnapshot> findFreshSnapshot(long nowNanos) {
    return generation.isStanding()
        ? findSnapshot(evidence -> evidence.isFresh(nowNanos, timing.evidenceNanos()))
        : Optional.empty();
  }

  /** Returns the time until which the evidence of every box is valid, unless a probe fails. */
  public long evidenceUntilNanos() {
    return evidenceByBox.values().stream()
            .mapToLong(BoxEvidence::sentNanos)
            .reduce((a, b) -> a - b < 0 ? a : b)
            .orElse(ownedSinceNanos)
        + timing.evidenceNanos();
  }

  /**
   * Returns true if every box answered a probe sent at this time or later with the same boot id and
   * load name as before: the replica was ready all the time.
   *
   * @param before the snapshot at the time the request was sent
   * @param sinceNanos the earliest time of sending of the probes that count
   */
  public boolean isUnchangedSince(ReplicaSnapshot before, long sinceNanos) {
    return findSnapshot(e -> !e.hasFailedSince() && e.sentNanos() - sinceNanos >= 0)
        .filter(before::equals)
        .isPresent();
  }

  /**
   * Returns true if the replica that a request was sent to no longer exists: a box has another boot
   * id or load name, or hasn't answered for so long that it counts as lost.
   *
   * <p>Evidence that is only old, or one failed probe, doesn't make a replica broken. It delays new
   * requests and the ends of answers until the box answers again.
   */
  public boolean isBroken(ReplicaSnapshot before, long nowNanos) {
    for (Box box : generation.boxes()) {
      BoxEvidence evidence = evidenceOf(box);
      BoxReport report = evidence.report();
      boolean hasChanged =
          report != null
              && !(report.bootId().equals(before.bootIds().get(box.name()))
                  && isReady(report, before.loadNames().getOrDefault(box.name(), "")));
      if (hasChanged || evidence.silentNanos(nowNanos) > timing.lostNanos()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the evidence of a box. */
  public Optional<BoxEvidence> evidence(String box) {
    return Optional.ofNullable(evidenceByBox.get(box));
  }

  /**
   * Decides the next actions.
   *
   * @param nowNanos the monotonic time
   * @param mayOrder whether this process is in contact with the log, the condition for load orders
   * @param ownRunning the number of requests of this process that run on the generation
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
    wasReady |= findFreshSnapshot(nowNanos).isPresent();
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
        unloadStale(box, report, nowNanos, actions);
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
    return isLate && !wasReady ? DissolveReason.LOAD_FAILED : null;
  }

  /** Unloads what an earlier generation, or a delayed order, left on the box. */
  private void unloadStale(Box box, BoxReport report, long nowNanos, List<ReplicaAction> actions) {
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
              .filter(l -> LoadName.isForGeneration(l.name(), generation.number()))
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

  /** Returns true if an engine reports running requests of any process on this generation. */
  private boolean isAnyRunning() {
    return evidenceByBox.values().stream()
        .map(BoxEvidence::report)
        .filter(r -> r != null)
        .flatMap(r -> r.loads().stream())
        .anyMatch(
            l -> LoadName.isForGeneration(l.name(), generation.number()) && l.runningCount() > 0);
  }

  private Optional<ReplicaSnapshot> findSnapshot(Predicate<BoxEvidence> isAccepted) {
    Map<String, String> bootIds = new HashMap<>();
    Map<String, String> loadNames = new HashMap<>();
    for (Box box : generation.boxes()) {
      BoxEvidence evidence = evidenceOf(box);
      BoxReport report = evidence.report();
      if (report == null || !isAccepted.test(evidence)) {
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

  /** Returns the load name of this generation on a box; of several, the first by name. */
  private @Nullable String ownLoad(BoxReport report) {
    return report.loads().stream()
        .map(BoxReport.Load::name)
        .filter(name -> LoadName.isForGeneration(name, generation.number()))
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
