package org.shoreroad.edge.relay;

import java.util.Objects;
import java.util.Set;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.traffic.UpstreamService;

/**
 * Asks the processes that own fabric domains for room at their heads. Used on the event loop.
 *
 * @since 0.2
 */
public interface RoomBroker {
  /** Returns true if room at heads of the model is granted by a known process. */
  boolean isShared(UpstreamService service, String model);

  /**
   * Prepares to ask for room; nothing is sent yet.
   *
   * @param query the request, not null
   * @param listener called exactly once unless the ask is withdrawn, not null
   */
  Ask prepare(Query query, Listener listener);

  /** Ask for room, which ends with one call of its listener or by its withdrawal. */
  interface Ask {
    /** Sends the ask; the listener may be called before this method returns. */
    void send();

    /** Withdraws the ask; does nothing if it has ended. */
    void withdraw();
  }

  /** Granted room at one head. */
  interface Grant {
    /** Returns the id of the head. */
    String headId();

    /**
     * Returns false once the owner may have given the room to another request, since the grant was
     * not renewed while this process was suspended or cut off. A request that was not sent by then
     * must not be.
     */
    boolean isInForce();

    /** Reports the end of the use; only the first call has an effect. */
    void end(GrantEnd end);
  }

  /** Receiver of the result of an ask. */
  interface Listener {
    /** Called when room is granted, whose end must be reported. */
    void onGranted(Grant grant);

    /**
     * Called when the owners that were asked have refused. The request may still go to a head
     * without an answering owner.
     *
     * @param decision the refusal for the caller, not null
     * @param coveredHeads the ids of the model's heads whose owners answer, not null
     */
    void onRefused(RoomDecision decision, Set<String> coveredHeads);

    /** Called when no owner answers or none has a usable head. */
    void onUnavailable();
  }

  /**
   * Request for which room is needed.
   *
   * @param service the service, which has engines, not null
   * @param model the model, not null
   * @param account the name of the client account, or an empty text, not null
   * @param priority the priority, 0 is the most urgent
   * @param promptTokens the tokens of the prompt, 0 or more
   * @param answerTokens the expected tokens of the answer, 0 if unknown
   * @param arrivedNanos the time of arrival on the steady clock
   * @param endNanos the deadline on the steady clock
   * @param targetLatencyMs the target for the time to the first event, in milliseconds
   * @param targetGapMs the target for the time between two events, in milliseconds, 0 for none
   * @param contentHash the hash of the content, equal when the caller sends the request again
   * @param excludedHeads the ids of the heads that the request must not be sent to, not null
   */
  record Query(
      UpstreamService service,
      String model,
      String account,
      int priority,
      long promptTokens,
      int answerTokens,
      long arrivedNanos,
      long endNanos,
      int targetLatencyMs,
      int targetGapMs,
      long contentHash,
      Set<String> excludedHeads) {
    /** Copies the set. */
    public Query {
      Objects.requireNonNull(service, "service");
      Objects.requireNonNull(model, "model");
      Objects.requireNonNull(account, "account");
      excludedHeads = Set.copyOf(excludedHeads);
    }
  }
}
