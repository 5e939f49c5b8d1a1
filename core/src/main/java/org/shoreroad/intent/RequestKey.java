package org.shoreroad.intent;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * A caller's idempotency key for a request that must not run twice: a version 7 UUID, which
 * contains its creation time.
 *
 * <p>The log retains records for a limited time. A key older than the window is refused, because
 * after its record has expired it would look like a new key. The caller's clock need not be right:
 * the time in a key never changes and is compared only with the system's own clocks.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param account the client account
 * @param key the key
 * @since 0.1
 */
public record RequestKey(String account, UUID key) {
  /** The maximum time by which a key may be ahead of the system's clock, in milliseconds. */
  public static final long MAX_AHEAD_MS = 300_000;

  private static final int VERSION_WITH_TIME = 7;
  private static final int TIME_SHIFT_BITS = 16;

  /** Checks that no component is null. */
  public RequestKey {
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(key, "key");
  }

  /**
   * Parses a caller's key.
   *
   * @param account the client account, not null
   * @param text the key as the caller sent it, not null
   * @return the key
   * @throws IllegalArgumentException if the text is not a version 7 UUID
   */
  public static RequestKey parse(String account, String text) {
    UUID key = UUID.fromString(text);
    if (key.version() != VERSION_WITH_TIME || !key.toString().equalsIgnoreCase(text)) {
      throw new IllegalArgumentException("not a version 7 UUID");
    }
    return new RequestKey(account, key);
  }

  /**
   * Creates a key as a caller does.
   *
   * @param account the client account, not null
   * @param nowMs the creation time, in milliseconds since 1970
   * @param random a random UUID, of which 74 bits are used
   */
  public static RequestKey of(String account, long nowMs, UUID random) {
    long high = (nowMs << TIME_SHIFT_BITS) | 0x7000L | (random.getMostSignificantBits() & 0x0fffL);
    return new RequestKey(account, new UUID(high, random.getLeastSignificantBits()));
  }

  /** Returns the creation time by the caller's clock, in milliseconds since 1970. */
  public long createdAtMs() {
    return key.getMostSignificantBits() >>> TIME_SHIFT_BITS;
  }

  /**
   * Returns by how much the key is outside the window.
   *
   * @param nowMs the current time by the system's clock, in milliseconds since 1970
   * @param windowMs the maximum age of a key, in milliseconds
   * @return empty if the key is inside; else the milliseconds by which it is too old (positive) or
   *     too far ahead (negative)
   */
  public OptionalLong findWindowExcess(long nowMs, long windowMs) {
    long ageMs = nowMs - createdAtMs();
    if (ageMs > windowMs) {
      return OptionalLong.of(ageMs - windowMs);
    }
    return ageMs < -MAX_AHEAD_MS ? OptionalLong.of(ageMs + MAX_AHEAD_MS) : OptionalLong.empty();
  }

  /** Returns the shard that holds this key's intents, from 0 to {@code shards - 1}. */
  public int toShard(int shards) {
    return Hashing.consistentHash(
        Hashing.murmur3_128().hashString(toHash(), StandardCharsets.UTF_8), shards);
  }

  /** Returns the hash of account and key that the log stores: 128 bits in hexadecimal. */
  public String toHash() {
    return Hashing.sha256()
        .hashString(account + "/" + key, StandardCharsets.UTF_8)
        .toString()
        .substring(0, 32);
  }
}
