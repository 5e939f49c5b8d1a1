package org.shoreroad.admission;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Decision on a request for room: a head that the request may be sent to now, or a refusal.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param key the identity of the request for room, not null
 * @param headId the id of the head, or null if the request is refused
 * @param refusal the reason of the refusal, or null if the request is granted
 * @param retryAfterMs the time after which the caller should return, in milliseconds, 0 if granted
 * @since 0.2
 */
public record RoomDecision(
    RoomRequest.Key key, @Nullable String headId, @Nullable RoomRefusal refusal, int retryAfterMs) {
  /** Checks that there is either a head or a refusal. */
  public RoomDecision {
    Objects.requireNonNull(key, "key");
    if ((headId == null) == (refusal == null)) {
      throw new IllegalArgumentException("either a head or a refusal is needed");
    }
  }

  /** Returns a grant of room at a head. */
  public static RoomDecision granted(RoomRequest.Key key, String headId) {
    return new RoomDecision(key, headId, null, 0);
  }

  /** Returns a refusal. */
  public static RoomDecision refused(RoomRequest.Key key, RoomRefusal refusal, int retryAfterMs) {
    return new RoomDecision(key, null, refusal, retryAfterMs);
  }

  /** Returns true if the request may be sent. */
  public boolean isGranted() {
    return headId != null;
  }
}
