package org.shoreroad.fleet;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Observation of one box by the keeper of its domain: the engine's newest status report, and
 * whether the box can be reached.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param box the box with the newest status report of its engine, not null
 * @param isListed true if the list of upstreams still names the box
 * @param reach whether it answers, not null
 * @param isSteady true if it has not been silent for as long as an engine takes to break a replica
 * @param isConfirmed true if its engine itself said a moment ago where it stands; the list may lag
 * @param isStalled true if it heads a replica whose requests get nothing
 * @param lastModel the model of its last replica in this incarnation, which it joins again almost
 *     at once, or null; an engine that left its replica no longer names it
 * @since 0.2
 */
public record ObservedBox(
    FleetBox box,
    boolean isListed,
    Reach reach,
    boolean isSteady,
    boolean isConfirmed,
    boolean isStalled,
    @Nullable String lastModel) {
  /** Checks that the parts are there. */
  public ObservedBox {
    Objects.requireNonNull(box, "box");
    Objects.requireNonNull(reach, "reach");
  }

  /** Returns true if the box can be part of a replica that is formed now. */
  public boolean isFit() {
    return isListed && !box.isLeaving() && reach == Reach.LIKELY;
  }

  /** Returns true if the box has no weights at all. */
  public boolean isBlank() {
    return box.model() == null && lastModel == null && box.stagedModels().isEmpty();
  }

  /** Returns true if the box would have to load the model's weights from the weight store. */
  public boolean isCold(ModelShape shape) {
    return !shape.name().equals(lastModel) && !box.stagedModels().contains(shape.name());
  }

  /** Returns true if its host holds nothing but, perhaps, the model that the box held last. */
  public boolean hasRoomOnHost() {
    return lastModel != null
        && box.stagedModels().stream().allMatch(model -> model.equals(lastModel));
  }

  /** Returns 0 for a box that held the model last, 1 if it lies on its host, 2 if it must load. */
  public int joinCost(ModelShape shape) {
    if (shape.name().equals(lastModel)) {
      return 0;
    }
    return isCold(shape) ? 2 : 1;
  }

  /** Returns true if this incarnation of the box is over, so that nothing runs on it any more. */
  public boolean isDead() {
    return reach == Reach.GONE;
  }

  /** Returns true if the box can't be relied on to carry a request further. */
  public boolean isLost() {
    return reach != Reach.LIKELY;
  }

  /** Returns true if the box is a member of the replica and stands at the state. */
  public boolean isIn(ReplicaId replica, MemberState state) {
    Membership membership = box.membership();
    return membership != null
        && membership.replica().equals(replica)
        && membership.state() == state;
  }

  /** Whether a box answers when it is asked. */
  public enum Reach {
    /** Nothing speaks against it. */
    LIKELY,
    /** It was asked lately and did not answer. */
    LOST,
    /**
     * Dead for certain: another incarnation answers there, or it is off the list and answers
     * nobody.
     */
    GONE
  }
}
