package org.shoreroad.admission;

import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Request for room at a replica head, sent by the process that received a caller's request to the
 * process that owns the head's domain.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param key the identity of the request for room, not null
 * @param zone the availability zone of the process that holds the caller's request, not null
 * @param account the name of the client account, empty for an anonymous caller, not null
 * @param priority the priority, 0 is the most urgent
 * @param promptTokens the tokens of the prompt, 0 or more
 * @param answerTokens the expected tokens of the answer, 0 if unknown
 * @param ageMs the time since the caller's request arrived, in milliseconds, 0 or more
 * @param targetLatencyMs the target for the time to the first event, in milliseconds
 * @param targetGapMs the target for the time between two events, in milliseconds, 0 for none
 * @param remainingMs the time until the caller's deadline, in milliseconds
 * @param contentHash the hash of the content, equal when the caller sends the request again
 * @param excludedHeads the ids of the heads that the request must not be sent to
 * @param isFinal true if a refusal is passed on to the caller, false if another owner is asked
 * @since 0.2
 */
public record RoomRequest(
    Key key,
    String zone,
    String account,
    int priority,
    long promptTokens,
    int answerTokens,
    int ageMs,
    int targetLatencyMs,
    int targetGapMs,
    int remainingMs,
    long contentHash,
    Set<String> excludedHeads,
    boolean isFinal) {
  /** Copies the set. */
  public RoomRequest {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(zone, "zone");
    Objects.requireNonNull(account, "account");
    excludedHeads = Set.copyOf(excludedHeads);
  }

  /** Returns the request with another time since the caller's request arrived. */
  public RoomRequest withAgeMs(int newAgeMs) {
    return new RoomRequest(
        key,
        zone,
        account,
        priority,
        promptTokens,
        answerTokens,
        newAgeMs,
        targetLatencyMs,
        targetGapMs,
        remainingMs,
        contentHash,
        excludedHeads,
        isFinal);
  }

  /**
   * Identity of a request for room.
   *
   * @param holder the name of the process that sent it, not null
   * @param number a number that this process uses once
   */
  public record Key(String holder, long number) {
    /** Checks that the name isn't null. */
    public Key {
      Objects.requireNonNull(holder, "holder");
    }

    // Explicit, since the generated methods are method handles, whose first use in a process costs
    // 20 to 40 ms of processor time.

    @Override
    public boolean equals(@Nullable Object other) {
      return other instanceof Key key && number == key.number && holder.equals(key.holder);
    }

    @Override
    public int hashCode() {
      return 31 * holder.hashCode() + Long.hashCode(number);
    }
  }
}
