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
 * A fabric domain whose engines are played here, with the two rules that must hold at all times.
 *
 * <p>Time moves in steps of 50 ms. Faults: boxes die, are cut off from all or from the list alone,
 * leave; orders are lost, or carried out seconds later.
 */
final class FakeDomain {
  static final long STEP_NANOS = 50_000_000L;
  static final long SECOND_NANOS = 1_000_000_000L;
  private static final long STALL_NANOS = 5 * SECOND_NANOS;
  private static final long CERTAIN_NANOS = 6 * SECOND_NANOS;
  private static final long FORM_NANOS = 300_000_000L;
  private static final long REJOIN_NANOS = 200_000_000L;

  private final Map<String, Engine> engines = new LinkedHashMap<>();
  private final Map<ReplicaId, List<String>> membersOf = new HashMap<>();
  private final Map<ReplicaId, Set<String>> everReady = new HashMap<>();
  private final List<LateOrder> lateOrders = new ArrayList<>();
  private final EngineSpec spec;
  private final Random random;
  private final List<String> violations = new ArrayList<>();
  private double lateShare;
  private long formNanos = FORM_NANOS;
  private long reportLagNanos;
  private boolean isConfirmed = true;
  private long nowNanos = SECOND_NANOS;
  private int born;

  FakeDomain(EngineSpec spec, Random random) {
    this.spec = spec;
    this.random = random;
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
    String id = "box-" + born++;
    engines.put(id, new Engine(id));
    return id;
  }

  void setConfirmed(boolean confirmed) {
    isConfirmed = confirmed;
  }

  /** Sets how old the state is that the boxes tell. */
  void setReportLagNanos(long nanos) {
    reportLagNanos = nanos;
  }

  void setLateShare(double share) {
    lateShare = share;
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
    engines.get(id).endedNanos = nowNanos;
  }

  /** Boxes that said they leave do end. */
  void endLeaving() {
    engines.values().stream().filter(e -> e.isAlive && e.isLeaving).forEach(e -> kill(e.id));
  }

  /** Weights come to a host by another way. */
  void putOnHost(String id, String model) {
    engines.get(id).staged.clear();
    engines.get(id).staged.add(model);
  }

  /** A head closes, as if ordered. */
  void closeAtOnce(String id) {
    Engine engine = engines.get(id);
    engine.take(BoxOrder.of(id, BoxOrder.Verb.CLOSE_NOW, engine.replica, "test"));
  }

  /** A head lets its replica go, as if ordered. */
  void leaveAtOnce(String id) {
    closeAtOnce(id);
    Engine engine = engines.get(id);
    engine.take(BoxOrder.of(id, BoxOrder.Verb.LEAVE, engine.replica, "test"));
  }

  /** A box answers no question any more, and works on. */
  void mute(String id) {
    engines.get(id).isMute = true;
  }

  void leaveSoon(String id) {
    engines.get(id).isLeaving = true;
  }

  /** Cuts a box off from the list and, if wanted, from every asker and every other box too. */
  void cut(String id, boolean isWhole) {
    engines.get(id).isOffList = true;
    if (isWhole) {
      engines.get(id).isCut = true;
    } else {
      setReachable(id);
    }
    engines.get(id).endedNanos = nowNanos;
  }

  void heal(String id) {
    setReachable(id);
    engines.get(id).isOffList = false;
  }

  private void setReachable(String id) {
    if (engines.get(id).isCut) {
      engines.get(id).isCut = false;
      engines.get(id).healedNanos = nowNanos;
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
      boolean isSilent = !engine.isAlive || engine.isCut;
      long silentNanos = isSilent ? nowNanos - engine.endedNanos : 0;
      boolean isListed = !(isSilent || engine.isOffList) || silentNanos < 3 * SECOND_NANOS;
      Reach reach = silentNanos > 700_000_000L || engine.isMute ? Reach.LOST : Reach.LIKELY;
      if (silentNanos > CERTAIN_NANOS && !isListed) {
        reach = Reach.GONE;
      }
      boolean isSteady = nowNanos - engine.healedNanos > CERTAIN_NANOS;
      observedBoxes.add(
          new ObservedBox(
              engine.toToldBox(),
              isListed,
              reach,
              isSteady && !isSilent,
              isConfirmed,
              engine.isServingInVain(),
              engine.lastModel()));
    }
    return observedBoxes;
  }

  /** Takes an order; returns true if the engine said that it carries it out. */
  boolean give(BoxOrder order) {
    if (random.nextDouble() < lateShare) {
      // Lost for the keeper; half of these are carried out later, after newer ones.
      if (random.nextBoolean()) {
        long atNanos = nowNanos + (2 + random.nextInt(10)) * SECOND_NANOS;
        lateOrders.add(new LateOrder(atNanos, order));
      }
      return false;
    }
    return carryOut(order);
  }

  /** Sets how long a head takes to open; each order to open begins it anew. */
  void setFormNanos(long nanos) {
    formNanos = nanos;
  }

  void step() {
    nowNanos += STEP_NANOS;
    List<LateOrder> due = lateOrders.stream().filter(late -> late.atNanos <= nowNanos).toList();
    lateOrders.removeAll(due);
    due.forEach(late -> carryOut(late.order));
    engines.values().forEach(Engine::step);
  }

  private boolean carryOut(BoxOrder order) {
    Engine engine = engines.get(order.boxId());
    boolean hears = engine != null && engine.isAlive && !engine.isCut;
    if (hears) {
      engine.take(order);
    }
    return hears;
  }

  private record Told(long atNanos, FleetBox box) {}

  private record LateOrder(long atNanos, BoxOrder order) {}

  /** One engine. */
  private final class Engine {
    private final String id;
    private final Set<String> staged = new HashSet<>();
    private final List<Told> told = new ArrayList<>();
    private boolean isAlive = true;
    private boolean isLeaving;
    private boolean isCut;
    private boolean isMute;
    private boolean isOffList;
    private long endedNanos;
    private long healedNanos = -CERTAIN_NANOS;
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
      // As on the platform, an engine names its model only while it is a member and holds it.
      String named = membership == null || state == MemberState.JOINING ? null : model;
      return new FleetBox(
          id, "llm", id + ":1", "z", 18, isLeaving, "d", named, List.copyOf(staged), membership);
    }

    /** Returns the box as it tells, some time late. */
    FleetBox toToldBox() {
      while (told.size() > 1 && told.get(1).atNanos <= nowNanos - reportLagNanos) {
        told.remove(0);
      }
      return told.isEmpty() || reportLagNanos == 0 ? toBox() : told.get(0).box;
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
            changeNanos = nowNanos + formNanos;
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
      ReplicaId wanted = order.replica();
      if (wanted == null || wanted.epoch() < seenEpoch || wanted.equals(replica)) {
        return;
      }
      checkLetGo(wanted);
      String wantedModel = String.valueOf(order.model());
      ModelShape shape = spec.findModel(wantedModel).orElseThrow();
      long nanos = (long) (shape.loadSeconds() * SECOND_NANOS);
      if (wantedModel.equals(model)) {
        nanos = REJOIN_NANOS;
      } else if (staged.contains(wantedModel)) {
        nanos = (long) (shape.warmSeconds() * SECOND_NANOS);
      }
      staged.clear();
      staged.add(wantedModel);
      model = wantedModel;
      replica = wanted;
      seenEpoch = wanted.epoch();
      rank = order.members().indexOf(id);
      state = MemberState.JOINING;
      changeTo = MemberState.READY;
      changeNanos = nowNanos + nanos;
      membersOf.put(wanted, order.members());
    }

    /** A box may not pass to another replica while the head of its own one serves. */
    private void checkLetGo(ReplicaId wanted) {
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
        violations.add(id + " joined " + wanted + " while the head of " + replica + " serves");
      }
      if (head == this && state != null && state.isServing()) {
        violations.add(id + " joined " + wanted + " while it serves " + replica);
      }
    }

    void step() {
      if (!isAlive) {
        return;
      }
      told.add(new Told(nowNanos, toBox()));
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
        checkWhole(replica);
        stalledSinceNanos =
            !isStalled() ? -1 : stalledSinceNanos < 0 ? nowNanos : stalledSinceNanos;
        if (stalledSinceNanos >= 0 && nowNanos - stalledSinceNanos > STALL_NANOS) {
          state = MemberState.BROKEN;
        }
      }
    }

    private void checkWhole(ReplicaId open) {
      List<String> members = membersOf.get(open);
      if (!everReady.getOrDefault(open, Set.of()).containsAll(members)) {
        violations.add(open + " serves though a member was never ready");
      }
    }

    boolean isServingInVain() {
      return isAlive && state != null && state.isServing() && isStalled();
    }

    boolean isStalled() {
      for (String member : membersOf.getOrDefault(replica, List.of())) {
        Engine other = engines.get(member);
        boolean isThere = other.isAlive && other.isCut == isCut && other.replica != null;
        if (!isThere || !other.replica.equals(replica)) {
          return true;
        }
      }
      return false;
    }
  }
}
