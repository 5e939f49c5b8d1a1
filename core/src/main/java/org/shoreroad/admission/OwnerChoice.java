package org.shoreroad.admission;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Chooses which owner of replica heads is asked for room, by the free slots that load reports show.
 *
 * <p>Of two owners, drawn at random by their free slots, the one with the larger free part is
 * asked: many processes that choose on the same old reports don't all ask the same owner. Owners in
 * the process's own availability zone come first unless their heads are nearly full. All methods
 * are thread-safe if the source of randomness is.
 *
 * @since 0.2
 */
public final class OwnerChoice {
  /** Part of the slots in the own zone that must be free for the other zones not to count. */
  private static final double MIN_FREE_PART = 0.1;

  /** Weight of an owner without a free slot, so that it may be asked if all are full. */
  private static final double FULL_WEIGHT = 0.1;

  private OwnerChoice() {}

  /**
   * Owner of heads of the model.
   *
   * @param name the name of the process, not null
   * @param freeSlots the free slots at its usable heads, negative counts as 0
   * @param slots all slots at its usable heads, positive
   * @param isNear true if a usable head is in the availability zone of the asking process
   */
  public record Candidate(String name, int freeSlots, int slots, boolean isNear) {
    /** Checks the name and the slots. */
    public Candidate {
      Objects.requireNonNull(name, "name");
      freeSlots = Math.max(0, freeSlots);
      if (slots <= 0) {
        throw new IllegalArgumentException("no slots at " + name);
      }
    }

    private double weight() {
      return freeSlots + FULL_WEIGHT;
    }

    private double freePart() {
      return (double) freeSlots / slots;
    }
  }

  /** Returns the owner to ask, or empty if there is no candidate. */
  public static Optional<Candidate> choose(List<Candidate> candidates, RandomGenerator random) {
    List<Candidate> near = candidates.stream().filter(Candidate::isNear).toList();
    List<Candidate> eligible = hasRoom(near) ? near : candidates;
    if (eligible.isEmpty()) {
      return Optional.empty();
    }
    Candidate one = draw(eligible, random);
    Candidate other = draw(eligible, random);
    return Optional.of(other.freePart() > one.freePart() ? other : one);
  }

  private static boolean hasRoom(List<Candidate> candidates) {
    int free = candidates.stream().mapToInt(Candidate::freeSlots).sum();
    int slots = candidates.stream().mapToInt(Candidate::slots).sum();
    return free > MIN_FREE_PART * slots;
  }

  private static Candidate draw(List<Candidate> candidates, RandomGenerator random) {
    double total = candidates.stream().mapToDouble(Candidate::weight).sum();
    double left = random.nextDouble() * total;
    for (Candidate candidate : candidates) {
      left -= candidate.weight();
      if (left < 0) {
        return candidate;
      }
    }
    return candidates.get(candidates.size() - 1);
  }
}
