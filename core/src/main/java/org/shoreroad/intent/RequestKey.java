package org.shoreroad.intent;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.UUID;

/**
 * A caller's key for a request that may not be repeated: a version 7 UUID, which carries the time
 * it was made.
 *
 * <p>The log keeps records for a limited time, so a key must tell its own age: one older than the
 * window is refused, instead of being taken for new after its record has gone. The caller's clock
 * need not be right, since a key's time never changes and only the system's own clocks judge it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param account the client account
 * @param key the key
 * @since 0.1
 */
public record RequestKey(String account, UUID key) {
  /** How far ahead of the system's clock a key may be, in milliseconds. */
  public static final long MAX_AHEAD_MS = 300_000;

  private static final int VERSION_WITH_TIME = 7;
  private static final int TIME_SHIFT_BITS = 16;

  /** Checks that no part is missing. */
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
   * Returns the key that a caller would make at this time.
   *
   * @param account the client account
   * @param nowMs milliseconds since 1970
   * @param random 64 random bits and more, of which 74 are used
   */
  public static RequestKey of(String account, long nowMs, UUID random) {
    long high = (nowMs << TIME_SHIFT_BITS) | 0x7000L | (random.getMostSignificantBits() & 0x0fffL);
    return new RequestKey(account, new UUID(high, random.getLeastSignificantBits()));
  }

  /** Returns when the key was made by the caller's clock, in milliseconds since 1970. */
  public long createdAtMs() {
    return key.getMostSignificantBits() >>> TIME_SHIFT_BITS;
  }

  /**
   * Returns how far the key is outside the window.
   *
   * @param nowMs the system's clock, in milliseconds since 1970
   * @param windowMs how old a key may be, in milliseconds
   * @return empty if the key is inside; else by how many milliseconds it is too old (positive) or
   *     too far ahead (negative)
   */
  public OptionalLong findWindowExcess(long nowMs, long windowMs) {
    long ageMs = nowMs - createdAtMs();
    if (ageMs > windowMs) {
      return OptionalLong.of(ageMs - windowMs);
    }
    return ageMs < -MAX_AHEAD_MS ? OptionalLong.of(ageMs + MAX_AHEAD_MS) : OptionalLong.empty();
  }

  /** Returns the shard, of so many, that decides on this key. */
  public int toShard(int shards) {
    return Hashing.consistentHash(
        Hashing.murmur3_128().hashString(toHash(), StandardCharsets.UTF_8), shards);
  }

  /** Returns what stands for account and key in the log: 128 bits in hexadecimal. */
  public String toHash() {
    return Hashing.sha256()
        .hashString(account + "/" + key, StandardCharsets.UTF_8)
        .toString()
        .substring(0, 32);
  }
}
