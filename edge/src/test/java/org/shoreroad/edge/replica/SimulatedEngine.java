package org.shoreroad.edge.replica;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.replica.Engines.OrderOutcome;
import org.shoreroad.fleet.BoxOrder;
import org.shoreroad.fleet.BoxOrder.Verb;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.fleet.ReplicaId;

/**
 * Engine of one box in a {@link SimulatedDomain}, after the platform's page on orders: an order
 * that holds already is accepted and changes nothing; an order about a replica that the box is no
 * member of changes nothing; a formation older than one that the engine has seen is rejected.
 */
final class SimulatedEngine {
  private static final long REJOIN_NANOS = SimulatedDomain.millis(200);
  private static final long OPEN_NANOS = SimulatedDomain.millis(300);
  private static final long BREAK_NANOS = SimulatedDomain.millis(5_000);

  private final SimulatedDomain domain;
  private final String id;
  private final List<Snapshot> history = new ArrayList<>();
  private boolean isAlive = true;
  private boolean isLeaving;
  private @Nullable ReplicaId replica;
  private List<String> members = List.of();
  private @Nullable MemberState state;
  private @Nullable String lastModel;
  private @Nullable String stagedModel;
  private @Nullable String stagingModel;
  private long stagedAtNanos;
  private long seenEpoch;
  private @Nullable MemberState nextState;
  private long nextStateNanos;
  private long stalledSinceNanos = -1;

  SimulatedEngine(SimulatedDomain domain, String id) {
    this.domain = domain;
    this.id = id;
    record();
  }

  String id() {
    return id;
  }

  boolean isAlive() {
    return isAlive;
  }

  boolean isLeaving() {
    return isLeaving;
  }

  void announceLeaving() {
    isLeaving = true;
    record();
  }

  void end() {
    isAlive = false;
  }

  boolean isOpenHeadOf(String model) {
    return isAlive && isHead() && state == MemberState.OPEN && model.equals(lastModel);
  }

  private boolean isHead() {
    return replica != null && members.indexOf(id) == 0;
  }

  private boolean isServing() {
    return isAlive && state != null && state.isServing();
  }

  @Nullable ReplicaId replica() {
    return replica;
  }

  /** Returns the box as the engine reported it at a time in the past. */
  FleetBox boxAt(long nanos) {
    FleetBox box = history.get(0).box();
    for (Snapshot snapshot : history) {
      if (snapshot.sinceNanos() <= nanos) {
        box = snapshot.box();
      }
    }
    return box;
  }

  /** Executes an order and returns the answer. */
  OrderOutcome execute(BoxOrder order) {
    if (order.verb() == Verb.STAGE) {
      stagingModel = order.model();
      stagedAtNanos = domain.nowNanos() + domain.loadNanos(String.valueOf(stagingModel));
      return OrderOutcome.TAKEN;
    }
    OrderOutcome outcome = order.verb() == Verb.JOIN ? join(order) : change(order);
    record();
    return outcome;
  }

  private OrderOutcome join(BoxOrder order) {
    ReplicaId ordered = order.replica();
    if (ordered == null || ordered.epoch() < seenEpoch) {
      return OrderOutcome.OUTDATED;
    }
    if (ordered.equals(replica)) {
      return OrderOutcome.TAKEN;
    }
    checkFormerHead(ordered);
    String model = String.valueOf(order.model());
    ModelShape shape = domain.shapeOf(model);
    long joinNanos = domain.loadNanos(model);
    if (model.equals(lastModel)) {
      joinNanos = REJOIN_NANOS;
    } else if (model.equals(stagedModel)) {
      joinNanos = (long) (shape.warmSeconds() * 1e9);
    }
    lastModel = model;
    stagedModel = model;
    replica = ordered;
    members = order.members();
    seenEpoch = ordered.epoch();
    become(MemberState.JOINING);
    prepare(MemberState.READY, joinNanos);
    return OrderOutcome.TAKEN;
  }

  /** Records a violation if the head of the replica that the box has not left is serving. */
  private void checkFormerHead(ReplicaId ordered) {
    if (replica == null) {
      return;
    }
    SimulatedEngine head = domain.find(members.get(0));
    if (head != null && head.isServing() && replica.equals(head.replica)) {
      domain.addViolation(
          id + " joins " + ordered.name() + " while " + replica.name() + " is " + head.state);
    }
  }

  private OrderOutcome change(BoxOrder order) {
    if (replica == null || !replica.equals(order.replica())) {
      return order.verb() == Verb.LEAVE ? OrderOutcome.TAKEN : OrderOutcome.NOT_FITTING;
    }
    switch (order.verb()) {
      case OPEN -> {
        if (state != MemberState.READY && state != MemberState.OPEN) {
          return OrderOutcome.NOT_FITTING;
        }
        if (state == MemberState.READY) {
          prepare(MemberState.OPEN, OPEN_NANOS);
        }
      }
      case CLOSE_AFTER_WORK -> {
        if (state == MemberState.OPEN) {
          become(MemberState.CLOSING);
          prepare(MemberState.READY, domain.workNanos());
        }
      }
      case CLOSE_NOW -> {
        if (isServing() || nextState == MemberState.OPEN) {
          become(MemberState.READY);
        }
      }
      case LEAVE -> {
        replica = null;
        members = List.of();
        become(null);
      }
      default -> throw new IllegalArgumentException(String.valueOf(order.verb()));
    }
    return OrderOutcome.TAKEN;
  }

  private void become(@Nullable MemberState newState) {
    state = newState;
    nextState = null;
    stalledSinceNanos = -1;
  }

  private void prepare(MemberState newState, long delayNanos) {
    nextState = newState;
    nextStateNanos = domain.nowNanos() + delayNanos;
  }

  /** Advances the engine to the present. */
  void step() {
    if (!isAlive) {
      return;
    }
    if (stagingModel != null && domain.nowNanos() >= stagedAtNanos) {
      stagedModel = stagingModel;
      stagingModel = null;
    }
    if (nextState != null && domain.nowNanos() >= nextStateNanos) {
      become(nextState);
    }
    if (isHead() && isServing() && isAnyMemberLost()) {
      stalledSinceNanos = stalledSinceNanos < 0 ? domain.nowNanos() : stalledSinceNanos;
      if (domain.nowNanos() - stalledSinceNanos > BREAK_NANOS) {
        become(MemberState.BROKEN);
      }
    }
    record();
  }

  private boolean isAnyMemberLost() {
    for (String member : members) {
      SimulatedEngine other = domain.find(member);
      if (other == null || !other.isAlive || replica == null || !replica.equals(other.replica)) {
        return true;
      }
    }
    return false;
  }

  private void record() {
    Membership membership =
        replica == null || state == null
            ? null
            : new Membership(replica, members.indexOf(id), state);
    boolean holdsModel = membership != null && state != MemberState.JOINING;
    FleetBox box =
        new FleetBox(
            id,
            "llm",
            id + ":1",
            "z",
            18,
            isLeaving,
            SimulatedDomain.NAME,
            holdsModel ? lastModel : null,
            stagedModel == null ? List.of() : List.of(stagedModel),
            membership);
    if (history.isEmpty() || !box.equals(history.get(history.size() - 1).box())) {
      history.add(new Snapshot(domain.nowNanos(), box));
      domain.write(box);
    }
  }

  private record Snapshot(long sinceNanos, FleetBox box) {}
}
