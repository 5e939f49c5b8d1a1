package org.shoreroad.fleet;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Observation of one box by the process that forms the replicas of its domain: the newest status
 * report of the engine, and whether the box can be reached.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param box the box with the newest status report of its engine, not null
 * @param isListed true if the list of upstreams still contains the box
 * @param reach whether the box answers, not null
 * @param isSteady true if the box was not silent within the time in which an engine breaks a
 *     replica that lost a member
 * @param isConfirmed true if the engine has answered this process recently, and the state is its
 *     report or the effect of an order that it has accepted; the list may lag
 * @param isStalled true if the box is the head of a replica whose requests make no progress
 * @param lastModel the model of the box's last replica in this incarnation, or null; the box joins
 *     a replica of this model almost at once, but its engine no longer reports the model after it
 *     has left
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
  /** Creates an observation. */
  public ObservedBox {
    Objects.requireNonNull(box, "box");
    Objects.requireNonNull(reach, "reach");
  }

  /** Returns true if the box can be a member of a replica that is formed now. */
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

  /** Returns the number of models whose weights need not be loaded from the weight store. */
  public int localModelCount() {
    boolean isCounted = lastModel == null || box.stagedModels().contains(lastModel);
    return box.stagedModels().size() + (isCounted ? 0 : 1);
  }

  /** Returns true if the host holds no weights other than those of the box's last model. */
  public boolean hasRoomOnHost() {
    return lastModel != null
        && box.stagedModels().stream().allMatch(model -> model.equals(lastModel));
  }

  /**
   * Returns the cost of joining a replica of the model: 0 if it is the box's last model, 1 if the
   * weights are on its host, 2 if they must be loaded from the weight store.
   */
  public int joinCost(ModelShape shape) {
    if (shape.name().equals(lastModel)) {
      return 0;
    }
    return isCold(shape) ? 2 : 1;
  }

  /** Returns true if this incarnation of the box has ended, so that no request runs on it. */
  public boolean isDead() {
    return reach == Reach.GONE;
  }

  /** Returns true if the box can't be relied on for requests, because it is silent or dead. */
  public boolean isLost() {
    return reach != Reach.LIKELY;
  }

  /** Returns true if the box is a member of the replica, in any state. */
  public boolean isMemberOf(ReplicaId replica) {
    Membership membership = box.membership();
    return membership != null && membership.replica().equals(replica);
  }

  /** Returns true if the box is a member of the replica in the state. */
  public boolean isIn(ReplicaId replica, MemberState state) {
    Membership membership = box.membership();
    return membership != null
        && membership.replica().equals(replica)
        && membership.state() == state;
  }

  /** Reachability of a box. */
  public enum Reach {
    /** Reachable as far as observed. */
    LIKELY,
    /** The box has not answered a recent request. */
    LOST,
    /**
     * Certainly dead: another incarnation answers at its address, or the box is off the list and
     * answers no process.
     */
    GONE
  }
}
