package org.shoreroad.edge.room;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.ReturnPlan.Ticket;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.admission.RoomRequest;

/**
 * Message on room at replica heads, between the process that received a request and the process
 * that owns the heads' domain. All kinds are immutable and thread-safe.
 *
 * @since 0.2
 */
public sealed interface RoomMessage {
  /**
   * Request for room, to the owner.
   *
   * @param request the request, not null
   * @param service the service, not null
   * @param model the model, not null
   */
  record Ask(RoomRequest request, String service, String model) implements RoomMessage {
    /** Checks that no component is null. */
    public Ask {
      Objects.requireNonNull(request, "request");
      Objects.requireNonNull(service, "service");
      Objects.requireNonNull(model, "model");
    }
  }

  /**
   * Report that a request is queued, from the owner; repeated while it is.
   *
   * @param key the identity of the request, not null
   */
  record Waiting(RoomRequest.Key key) implements RoomMessage {
    /** Checks that the key isn't null. */
    public Waiting {
      Objects.requireNonNull(key, "key");
    }
  }

  /**
   * Decision, from the owner.
   *
   * @param decision the decision, not null
   * @param freeCount the number of further requests that the owner could grant room now
   */
  record Decided(RoomDecision decision, int freeCount) implements RoomMessage {
    /** Checks that the decision isn't null. */
    public Decided {
      Objects.requireNonNull(decision, "decision");
    }
  }

  /**
   * End of a request that waits or was granted room, to the owner.
   *
   * @param key the identity of the request, not null
   * @param end how it ended, not null
   */
  record End(RoomRequest.Key key, GrantEnd end) implements RoomMessage {
    /** Checks that no component is null. */
    public End {
      Objects.requireNonNull(key, "key");
      Objects.requireNonNull(end, "end");
    }
  }

  /**
   * Report of the grants that a process still uses, to the owner.
   *
   * @param holder the name of the process, not null
   * @param numbers the numbers of the requests, not null
   */
  record Renewal(String holder, Set<Long> numbers) implements RoomMessage {
    /** Copies the set. */
    public Renewal {
      Objects.requireNonNull(holder, "holder");
      numbers = Set.copyOf(numbers);
    }
  }

  /**
   * Answer to a renewal, to the process that sent it.
   *
   * @param holder the name of the process, not null
   * @param held the numbers of the requests that still hold a grant, not null
   * @param lost the numbers of those that hold none, not null
   */
  record Renewed(String holder, Set<Long> held, Set<Long> lost) implements RoomMessage {
    /** Copies the sets. */
    public Renewed {
      Objects.requireNonNull(holder, "holder");
      held = Set.copyOf(held);
      lost = Set.copyOf(lost);
    }
  }

  /**
   * Callers that an owner has invited to return, to the other owners of the model.
   *
   * @param service the service, not null
   * @param model the model, not null
   * @param tickets the invitations, not null
   */
  record Tickets(String service, String model, List<Ticket> tickets) implements RoomMessage {
    /** Copies the list. */
    public Tickets {
      Objects.requireNonNull(service, "service");
      Objects.requireNonNull(model, "model");
      tickets = List.copyOf(tickets);
    }
  }
}
