package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.ObservedBox.Reach;

/**
 * Simulation of a fabric domain and its engines. Records violations of two rules: no box joins a
 * replica while the head of its former one serves, and no replica serves with a member that was
 * never ready.
 *
 * <p>Simulated time advances in steps of 50 ms. Faults: boxes die, leave, or lose the connection to
 * all others or to the list only; orders are lost or carried out seconds later.
 */
final class FakeDomain {
  static final long STEP_NANOS = 50_000_000L;
  static final long SECOND_NANOS = 1_000_000_000L;
  private static final long STALL_LIMIT_NANOS = 5 * SECOND_NANOS;
  private static final long DEAD_AFTER_NANOS = 6 * SECOND_NANOS;
  private static final long OPEN_NANOS = 300_000_000L;
  private static final long REJOIN_NANOS = 200_000_000L;

  private final Map<String, Engine> engines = new LinkedHashMap<>();
  private final Map<ReplicaId, List<String>> membersOf = new HashMap<>();
  private final Map<ReplicaId, Set<String>> everReady = new HashMap<>();
  private final List<DelayedOrder> delayedOrders = new ArrayList<>();
  private final EngineSpec spec;
  private final Random random;
  private final String name;
  private final List<String> violations = new ArrayList<>();
  private double unansweredFraction;
  private long openNanos = OPEN_NANOS;
  private long reportLagNanos;
  private boolean isConfirmed = true;
  private long nowNanos = SECOND_NANOS;
  private int addedBoxes;

  FakeDomain(EngineSpec spec, Random random) {
    this(spec, random, "d");
  }

  FakeDomain(EngineSpec spec, Random random, String name) {
    this.spec = spec;
    this.random = random;
    this.name = name;
  }

  static EngineSpec spec() {
    return spec(
        new ModelShape("large", 4, 0.67, 1, 16, 1.6),
        new ModelShape("small", 2, 0.33, 0.6, 12, 1.1));
  }

  static EngineSpec spec(ModelShape... models) {
    return new EngineSpec(
        18, 969_230, 6.07, 0.348, 0.007, 46_000, 2_048, 5, 4, 6, 200, List.of(models));
  }

  String addBox() {
    String id = "box-" + addedBoxes++;
    engines.put(id, new Engine(id));
    return id;
  }

  void setConfirmed(boolean confirmed) {
    isConfirmed = confirmed;
  }

  /** Sets the age of the state that the boxes report, in nanoseconds. */
  void setReportLagNanos(long nanos) {
    reportLagNanos = nanos;
  }

  void setUnansweredFraction(double fraction) {
    unansweredFraction = fraction;
  }

  long nowNanos() {
    return nowNanos;
  }

  List<String> violations() {
    return violations;
  }

  List<String> liveIds() {
    return engines.values().stream().filter(e -> e.isAlive).map(e -> e.id).toList();
  }

  void kill(String id) {
    engines.get(id).isAlive = false;
    engines.get(id).silentSinceNanos = nowNanos;
  }

  /** Ends a member of a replica of the model and all boxes that belong to no replica. */
  void loseMemberAndSpares(String model) {
    boolean hasLostMember = false;
    for (Engine engine : engines.values()) {
      boolean isMember = engine.replica != null && engine.rank > 0 && model.equals(engine.model);
      if (engine.replica == null || (isMember && !hasLostMember)) {
        hasLostMember |= isMember;
        kill(engine.id);
      }
    }
  }

  /** Ends the boxes that have announced that they leave. */
  void endLeaving() {
    engines.values().stream().filter(e -> e.isAlive && e.isLeaving).forEach(e -> kill(e.id));
  }

  /** Replaces the weights on the host of a box, without an order. */
  void putOnHost(String id, String model) {
    engines.get(id).staged.clear();
    engines.get(id).staged.add(model);
  }

  /** Closes a head, as if ordered. */
  void closeAtOnce(String id) {
    Engine engine = engines.get(id);
    engine.take(BoxOrder.of(id, BoxOrder.Verb.CLOSE_NOW, engine.replica, "test"));
  }

  /** Closes a head and lets it leave its replica, as if ordered. */
  void leaveAtOnce(String id) {
    closeAtOnce(id);
    Engine engine = engines.get(id);
    engine.take(BoxOrder.of(id, BoxOrder.Verb.LEAVE, engine.replica, "test"));
  }

  /** Stops the answers of a box to requests for reports; it continues to work. */
  void silence(String id) {
    engines.get(id).isSilenced = true;
  }

  void announceLeaving(String id) {
    engines.get(id).isLeaving = true;
  }

  /**
   * Disconnects a box from the list.
   *
   * @param isFromAll true to disconnect it from all processes and other boxes too
   */
  void disconnect(String id, boolean isFromAll) {
    engines.get(id).isOffList = true;
    if (isFromAll) {
      engines.get(id).isDisconnected = true;
    } else {
      setReachable(id);
    }
    engines.get(id).silentSinceNanos = nowNanos;
  }

  /** Cuts a box off from the list and from all processes; it still reaches the other boxes. */
  void cutOff(String id) {
    engines.get(id).isCutOff = true;
    engines.get(id).isOffList = true;
    engines.get(id).silentSinceNanos = nowNanos;
  }

  void reconnect(String id) {
    setReachable(id);
    engines.get(id).isOffList = false;
    engines.get(id).isCutOff = false;
  }

  private void setReachable(String id) {
    if (engines.get(id).isDisconnected) {
      engines.get(id).isDisconnected = false;
      engines.get(id).reconnectedNanos = nowNanos;
    }
  }

  @Nullable ReplicaId openReplicaOf(String id) {
    Engine engine = engines.get(id);
    return engine.isAlive && engine.state == MemberState.OPEN ? engine.replica : null;
  }

  long countOpen(String model) {
    return engines.values().stream()
        .filter(e -> e.isAlive && e.state == MemberState.OPEN && model.equals(e.model))
        .filter(e -> !e.isStalled())
        .count();
  }

  List<ObservedBox> observedBoxes() {
    List<ObservedBox> observedBoxes = new ArrayList<>();
    for (Engine engine : engines.values()) {
      boolean isSilent = !engine.isAlive || engine.isDisconnected || engine.isCutOff;
      long silentNanos = isSilent ? nowNanos - engine.silentSinceNanos : 0;
      boolean isListed = !(isSilent || engine.isOffList) || silentNanos < 3 * SECOND_NANOS;
      Reach reach = silentNanos > 700_000_000L || engine.isSilenced ? Reach.LOST : Reach.LIKELY;
      if (silentNanos > DEAD_AFTER_NANOS && !isListed) {
        reach = Reach.GONE;
      }
      boolean isSteady = nowNanos - engine.reconnectedNanos > DEAD_AFTER_NANOS;
      observedBoxes.add(
          new ObservedBox(
              engine.toReportedBox(),
              isListed,
              reach,
              isSteady && !isSilent,
              isConfirmed,
              engine.isStalledHead(),
              engine.lastModel()));
    }
    return observedBoxes;
  }

  /** Gives an order to its box. Returns true if the engine accepts it. */
  boolean give(BoxOrder order) {
    if (random.nextDouble() < unansweredFraction) {
      // The reconciler gets no answer. Half of these orders are carried out later, after newer
      // ones.
      if (random.nextBoolean()) {
        long atNanos = nowNanos + (2 + random.nextInt(10)) * SECOND_NANOS;
        delayedOrders.add(new DelayedOrder(atNanos, order));
      }
      return false;
    }
    return carryOut(order);
  }

  /** Sets the time in which a head opens. Each order to open restarts it. */
  void setOpenNanos(long nanos) {
    openNanos = nanos;
  }

  void step() {
    nowNanos += STEP_NANOS;
    List<DelayedOrder> due =
        delayedOrders.stream().filter(delayed -> delayed.atNanos <= nowNanos).toList();
    delayedOrders.removeAll(due);
    due.forEach(delayed -> carryOut(delayed.order));
    engines.values().forEach(Engine::step);
  }

  private boolean carryOut(BoxOrder order) {
    Engine engine = engines.get(order.boxId());
    boolean isReachable =
        engine != null && engine.isAlive && !engine.isDisconnected && !engine.isCutOff;
    if (isReachable) {
      engine.take(order);
    }
    return isReachable;
  }

  private record Report(long atNanos, FleetBox box) {}

  private record DelayedOrder(long atNanos, BoxOrder order) {}

  /** Simulated engine. */
  private final class Engine {
    private final String id;
    private final Set<String> staged = new HashSet<>();
    private final List<Report> reports = new ArrayList<>();
    private boolean isAlive = true;
    private boolean isLeaving;
    private boolean isDisconnected;
    private boolean isCutOff;
    private boolean isSilenced;
    private boolean isOffList;
    private long silentSinceNanos;
    private long reconnectedNanos = -DEAD_AFTER_NANOS;
    private @Nullable ReplicaId replica;
    private @Nullable String model;
    private @Nullable MemberState state;
    private int rank;
    private long seenEpoch;
    private long changeNanos;
    private @Nullable MemberState changeTo;
    private long stalledSinceNanos = -1;
    private @Nullable String staging;
    private long stagedNanos;

    Engine(String id) {
      this.id = id;
    }

    FleetBox toBox() {
      Membership membership =
          replica == null || state == null ? null : new Membership(replica, rank, state);
      // As on the platform, an engine reports its model only while it is a member and holds it.
      String reportedModel = membership == null || state == MemberState.JOINING ? null : model;
      return new FleetBox(
          id,
          "llm",
          id + ":1",
          "z",
          18,
          isLeaving,
          name,
          reportedModel,
          List.copyOf(staged),
          membership);
    }

    /** Returns the box in the state that it reports, which may be out of date. */
    FleetBox toReportedBox() {
      while (reports.size() > 1 && reports.get(1).atNanos <= nowNanos - reportLagNanos) {
        reports.remove(0);
      }
      return reports.isEmpty() || reportLagNanos == 0 ? toBox() : reports.get(0).box;
    }

    @Nullable String lastModel() {
      return state == MemberState.JOINING ? null : model;
    }

    void take(BoxOrder order) {
      switch (order.verb()) {
        case JOIN -> join(order);
        case STAGE -> {
          staging = order.model();
          ModelShape shape = spec.findModel(String.valueOf(staging)).orElseThrow();
          stagedNanos = nowNanos + (long) (shape.loadSeconds() * SECOND_NANOS);
        }
        default -> {
          if (replica != null && replica.equals(order.replica())) {
            change(order.verb());
          }
        }
      }
    }

    private void change(BoxOrder.Verb verb) {
      switch (verb) {
        case OPEN -> {
          if (state == MemberState.READY) {
            changeTo = MemberState.OPEN;
            changeNanos = nowNanos + openNanos;
          }
        }
        case CLOSE_AFTER_WORK, CLOSE_NOW -> {
          if (state == MemberState.OPEN) {
            boolean isNow = verb == BoxOrder.Verb.CLOSE_NOW;
            state = isNow ? MemberState.READY : MemberState.CLOSING;
            changeTo = isNow ? null : MemberState.READY;
            changeNanos = nowNanos + SECOND_NANOS;
          } else if (state == MemberState.CLOSING && verb == BoxOrder.Verb.CLOSE_NOW) {
            state = MemberState.READY;
            changeTo = null;
          }
        }
        case LEAVE -> {
          replica = null;
          state = null;
          changeTo = null;
        }
        default -> throw new IllegalArgumentException(String.valueOf(verb));
      }
    }

    private void join(BoxOrder order) {
      ReplicaId ordered = order.replica();
      if (ordered == null || ordered.epoch() < seenEpoch || ordered.equals(replica)) {
        return;
      }
      checkFormerReplicaClosed(ordered);
      String orderedModel = String.valueOf(order.model());
      ModelShape shape = spec.findModel(orderedModel).orElseThrow();
      long nanos = (long) (shape.loadSeconds() * SECOND_NANOS);
      if (orderedModel.equals(model)) {
        nanos = REJOIN_NANOS;
      } else if (staged.contains(orderedModel)) {
        nanos = (long) (shape.warmSeconds() * SECOND_NANOS);
      }
      staged.clear();
      staged.add(orderedModel);
      model = orderedModel;
      replica = ordered;
      seenEpoch = ordered.epoch();
      rank = order.members().indexOf(id);
      state = MemberState.JOINING;
      changeTo = MemberState.READY;
      changeNanos = nowNanos + nanos;
      membersOf.put(ordered, order.members());
    }

    /**
     * Records a violation if the box joins another replica while the head of its own one serves.
     */
    private void checkFormerReplicaClosed(ReplicaId ordered) {
      if (replica == null) {
        return;
      }
      Engine head = engines.get(membersOf.get(replica).get(0));
      boolean isServing =
          head.isAlive
              && replica.equals(head.replica)
              && head.state != null
              && head.state.isServing();
      if (isServing && head != this) {
        violations.add(id + " joined " + ordered + " while the head of " + replica + " serves");
      }
      if (head == this && state != null && state.isServing()) {
        violations.add(id + " joined " + ordered + " while it serves " + replica);
      }
    }

    void step() {
      if (!isAlive) {
        return;
      }
      reports.add(new Report(nowNanos, toBox()));
      if (staging != null && nowNanos >= stagedNanos) {
        staged.clear();
        staged.add(staging);
        staging = null;
      }
      if (changeTo != null && nowNanos >= changeNanos) {
        state = changeTo;
        changeTo = null;
        if (state == MemberState.READY && replica != null) {
          everReady.computeIfAbsent(replica, key -> new HashSet<>()).add(id);
        }
      }
      if (state == MemberState.OPEN && replica != null) {
        checkEveryMemberWasReady(replica);
        stalledSinceNanos =
            !isStalled() ? -1 : stalledSinceNanos < 0 ? nowNanos : stalledSinceNanos;
        if (stalledSinceNanos >= 0 && nowNanos - stalledSinceNanos > STALL_LIMIT_NANOS) {
          state = MemberState.BROKEN;
        }
      }
    }

    private void checkEveryMemberWasReady(ReplicaId open) {
      List<String> members = membersOf.get(open);
      if (!everReady.getOrDefault(open, Set.of()).containsAll(members)) {
        violations.add(open + " serves though a member was never ready");
      }
    }

    boolean isStalledHead() {
      return isAlive && state != null && state.isServing() && isStalled();
    }

    boolean isStalled() {
      for (String member : membersOf.getOrDefault(replica, List.of())) {
        Engine other = engines.get(member);
        boolean isConnected =
            other.isAlive && other.isDisconnected == isDisconnected && other.replica != null;
        if (!isConnected || !other.replica.equals(replica)) {
          return true;
        }
      }
      return false;
    }
  }
}
