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
 * Rendezvous hashing: every process that knows the same names ranks them alike for a key, and a
 * name that comes or goes moves only the keys it wins.
 *
 * <p>All methods are pure and thread-safe.
 *
 * @since 0.1
 */
public final class Rendezvous {
  private static final HashFunction HASH = Hashing.murmur3_128(0x5e0a);

  private Rendezvous() {}

  /** Returns the score of a name for a key; the highest wins. */
  public static long score(String key, String name) {
    return HASH.newHasher()
        .putString(key, StandardCharsets.UTF_8)
        .putByte((byte) 0)
        .putString(name, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }

  /**
   * Returns the candidate that wins the key.
   *
   * @param key the key, not null
   * @param candidates the candidates, not null
   * @param name gives a candidate's name
   * @return the winner, or empty if there is no candidate
   */
  public static <T> Optional<T> choose(
      String key, Collection<T> candidates, Function<T, String> name) {
    return scoreAll(key, candidates, name).max(Scored.ORDER).map(Scored::candidate);
  }

  /** Returns the candidates, the one that wins the key first. */
  public static <T> List<T> rank(String key, Collection<T> candidates, Function<T, String> name) {
    return scoreAll(key, candidates, name)
        .sorted(Scored.ORDER.reversed())
        .map(Scored::candidate)
        .toList();
  }

  /**
   * Returns the place of a name among all that compete for the key, 0 for the winner.
   *
   * @param name the name, not null
   * @param key the key, not null
   * @param names all names, not null; it does not matter whether the name is among them
   */
  public static int placeOf(String name, String key, Collection<String> names) {
    Scored<String> own = new Scored<>(name, name, score(key, name));
    return (int)
        scoreAll(key, names, other -> other)
            .filter(other -> Scored.ORDER.compare(other, own) > 0)
            .count();
  }

  /** Scores each candidate once; comparing would score it again and again. */
  private static <T> Stream<Scored<T>> scoreAll(
      String key, Collection<T> candidates, Function<T, String> name) {
    return candidates.stream().map(c -> new Scored<>(c, name.apply(c), score(key, name.apply(c))));
  }

  private record Scored<T>(T candidate, String name, long score) {
    private static final Comparator<Scored<?>> ORDER =
        Comparator.<Scored<?>>comparingLong(Scored::score).thenComparing(Scored::name);
  }
}
