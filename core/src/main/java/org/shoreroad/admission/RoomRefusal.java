package org.shoreroad.admission;

import java.util.Locale;

/**
 * Reason why a request gets no room.
 *
 * @since 0.2
 */
public enum RoomRefusal {
  /** No head of the model can be used. */
  NO_HEAD,
  /** The first event could not come within the target, because earlier requests fill the room. */
  TARGET_OUT_OF_REACH,
  /** The events of running requests would come later than their target permits. */
  GAP_OUT_OF_REACH,
  /** The room that is left is kept for more urgent requests. */
  KEPT_FOR_MORE_URGENT,
  /** The client account uses more than its share while others need room. */
  ACCOUNT_OVER_SHARE,
  /** The key-value cache of each head lacks the room for the request. */
  CACHE_FULL,
  /** The process no longer owns the heads. */
  NOT_OWNER;

  /** Returns the text form for logs and counters, such as {@code no_head}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
