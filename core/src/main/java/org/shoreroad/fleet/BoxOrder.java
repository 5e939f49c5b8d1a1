package org.shoreroad.fleet;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * An order to the engine of a box.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param boxId the box, not null
 * @param verb the action, not null
 * @param replica the replica of the order, or null for {@link Verb#STAGE}
 * @param model the model, or null for orders that need none
 * @param members the ids of the members, the head first; empty for orders other than {@link
 *     Verb#JOIN}
 * @param reason the reason, for the log, not null
 * @since 0.2
 */
public record BoxOrder(
    String boxId,
    Verb verb,
    @Nullable ReplicaId replica,
    @Nullable String model,
    List<String> members,
    String reason) {
  /** Creates an order with a copy of the member list. */
  public BoxOrder {
    Objects.requireNonNull(boxId, "boxId");
    Objects.requireNonNull(verb, "verb");
    Objects.requireNonNull(reason, "reason");
    members = List.copyOf(members);
  }

  /** Returns an order to become a member of a replica. */
  public static BoxOrder join(
      String boxId, ReplicaId replica, String model, List<String> members, String reason) {
    return new BoxOrder(boxId, Verb.JOIN, replica, model, members, reason);
  }

  /** Returns an order for a box that is a member of the replica. */
  public static BoxOrder of(String boxId, Verb verb, ReplicaId replica, String reason) {
    return new BoxOrder(boxId, verb, replica, null, List.of(), reason);
  }

  /** Returns an order to load a model's weights to the host. */
  public static BoxOrder stage(String boxId, String model, String reason) {
    return new BoxOrder(boxId, Verb.STAGE, null, model, List.of(), reason);
  }

  /** Action of an engine. */
  public enum Verb {
    /** Become a member and hold the weights. */
    JOIN,
    /** As the head, take requests. */
    OPEN,
    /** As the head, finish the running requests and take no new ones. */
    CLOSE_AFTER_WORK,
    /** As the head, cancel the running requests and take no new ones. */
    CLOSE_NOW,
    /** Leave the replica. */
    LEAVE,
    /** Load the weights to the host, concurrently with all other work. */
    STAGE
  }
}
