package org.shoreroad.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Rendezvous hashing (highest random weight).
 *
 * <p>Every process with the same set of names computes the same ranking for a key. Adding or
 * removing a name moves only the keys for which it has the highest score.
 *
 * <p>All methods are pure and thread-safe.
 *
 * @since 0.1
 */
public final class Rendezvous {
  private static final HashFunction HASH = Hashing.murmur3_128(0x5e0a);

  private Rendezvous() {}

  /** Returns the score of a name for a key. */
  public static long score(String key, String name) {
    return HASH.newHasher()
        .putString(key, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(name, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  /**
   * Returns the candidate with the highest score for the key.
   *
   * @param key the key, not null
   * @param candidates the candidates, not null
   * @param name the function from a candidate to its name
   * @return the candidate, or empty if there is no candidate
   */
  public static <T> Optional<T> choose(
      String key, Collection<T> candidates, Function<T, String> name) {
    return scoreAll(key, candidates, name).max(Scored.ORDER).map(Scored::candidate);
  }

  /** Returns the candidates by descending score for the key. */
  public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
    return scoreAll(key, candidates, name)
        .sorted(Scored.ORDER.reversed())
        .map(Scored::candidate)
        .toList();
  }

  /**
   * Returns the zero-based position of a name in the ranking for the key.
   *
   * @param name the name, not null
   * @param key the key, not null
   * @param names the ranked names, not null; they may or may not include the name itself
   */
  public static int positionOf(String name, String key, Collection<String> names) {
    Scored<String> own = new Scored<>(name, name, score(key, name));
    return (int)
        scoreAll(key, names, other -> other)
            .filter(other -> Scored.ORDER.compare(other, own) > 0)
            .count();
  }

  /** Computes each score once; a comparator would compute it for each comparison. */
  private static <T> Stream<Scored<T>> scoreAll(
      String key, Collection<T> candidates, Function<T, String> name) {
    return candidates.stream().map(c -> new Scored<>(c, name.apply(c), score(key, name.apply(c))));
  }

  private record Scored<T>(T candidate, String name, long score) {
    private static final Comparator<Scored<?>> ORDER =
        Comparator.<Scored<?>>comparingLong(Scored::score).thenComparing(Scored::name);
  }
}
