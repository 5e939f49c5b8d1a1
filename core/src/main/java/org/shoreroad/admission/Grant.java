package org.shoreroad.admission;

/**
 * Room that a request was granted at a head.
 *
 * <p>Not thread-safe.
 */
final class Grant {
  private final RoomRequest request;
  private final HeadRoom head;
  private final long sharePpm;
  private final long cacheTokens;
  private final long grantedNanos;
  private final long readNanos;
  private long renewedNanos;

  /**
   * Creates a grant.
   *
   * @param sharePpm the share of an engine that it takes, in millionths
   * @param cacheTokens the tokens that it takes in the key-value cache
   * @param readNanos the time at which its prompt is expected to be read
   */
  Grant(
      RoomRequest request,
      HeadRoom head,
      long sharePpm,
      long cacheTokens,
      long grantedNanos,
      long readNanos) {
    this.request = request;
    this.head = head;
    this.sharePpm = sharePpm;
    this.cacheTokens = cacheTokens;
    this.grantedNanos = grantedNanos;
    this.readNanos = readNanos;
    renewedNanos = grantedNanos;
  }

  RoomRequest request() {
    return request;
  }

  HeadRoom head() {
    return head;
  }

  long sharePpm() {
    return sharePpm;
  }

  long cacheTokens() {
    return cacheTokens;
  }

  long grantedNanos() {
    return grantedNanos;
  }

  long readNanos() {
    return readNanos;
  }

  void renew(long nowNanos) {
    renewedNanos = nowNanos;
  }

  boolean isExpired(long ageNanos, long nowNanos) {
    return nowNanos - renewedNanos > ageNanos;
  }
}
