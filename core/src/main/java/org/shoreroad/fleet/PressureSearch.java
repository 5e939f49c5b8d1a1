package org.shoreroad.fleet;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * Search for the replicas of a domain that leave the highest pressure of any model lowest, and then
 * the sum of the pressures.
 *
 * <p>Replicas take their boxes in a fixed order, those of the largest models first. If some numbers
 * of replicas find enough boxes, so do all lower numbers. So the lowest highest pressure is found
 * by adding replicas, each to the model with the highest pressure. The lowest sum is found by a
 * beam search over the models: of all partial solutions that leave the same boxes, only the best is
 * kept, and of these a limited number. The limit can raise the sum in a domain with many models,
 * whose boxes hold different weights, but never the highest pressure. The work grows with the boxes
 * and the square of the models. Not thread-safe.
 */
final class PressureSearch {
  /**
   * Maximum number of kept partial solutions. If all boxes hold the same weights, there is one for
   * each number of boxes that are left.
   */
  private static final int BEAM_WIDTH = 64;

  /** Relative error of a sum of pressures. */
  private static final double ROUNDING = 1e-9;

  private final BoxGroups groups;
  private final int[] sizes;
  private final int[] largestFirst;
  private final double[][] pressures;
  private long stepCount;

  /**
   * Creates a search.
   *
   * @param groups the available boxes, not null
   * @param models the models by position, not null
   * @param pressure returns the pressure of the model at a position if that number of replicas is
   *     formed, which never rises with the number, not null
   */
  PressureSearch(BoxGroups groups, List<ModelShape> models, Pressure pressure) {
    this.groups = groups;
    this.sizes = models.stream().mapToInt(ModelShape::boxes).toArray();
    this.largestFirst =
        IntStream.range(0, sizes.length)
            .boxed()
            .sorted(Comparator.comparingInt(model -> -sizes[model]))
            .mapToInt(Integer::intValue)
            .toArray();
    int[] all = groups.counts();
    this.pressures = new double[sizes.length][];
    for (int model = 0; model < sizes.length; model++) {
      int most = groups.usableCount(all, model) / sizes[model];
      pressures[model] = new double[most + 1];
      for (int count = 0; count <= most; count++) {
        pressures[model][count] = pressure.of(model, count);
      }
    }
  }

  /** Pressure of a model. */
  @FunctionalInterface
  interface Pressure {
    /** Returns the pressure of the model at the position with that number of formed replicas. */
    double of(int model, int count);
  }

  /** Returns how often boxes were taken for the replicas of a model, which measures the work. */
  long stepCount() {
    return stepCount;
  }

  /** Returns the lowest highest pressure that the boxes allow, or 0 without models. */
  double lowestHighest() {
    return sizes.length == 0 ? 0 : highest(raiseHighest());
  }

  /** Returns the best number of replicas to form of each model. */
  int[] best() {
    if (sizes.length == 0) {
      return new int[0];
    }
    return lowestSum(fewestFor(highest(raiseHighest())));
  }

  /** Adds replicas to the model with the highest pressure until it can have no more. */
  private int[] raiseHighest() {
    int[] counts = new int[sizes.length];
    int model = highestModel(counts);
    while (canRaise(counts, model)) {
      counts[model]++;
      if (!isFormable(counts)) {
        counts[model]--;
        return counts;
      }
      model = highestModel(counts);
    }
    return counts;
  }

  private boolean canRaise(int[] counts, int model) {
    double[] byCount = pressures[model];
    return byCount[byCount.length - 1] < byCount[counts[model]];
  }

  private int highestModel(int[] counts) {
    int found = 0;
    for (int model = 1; model < sizes.length; model++) {
      if (pressures[model][counts[model]] > pressures[found][counts[found]]) {
        found = model;
      }
    }
    return found;
  }

  private double highest(int[] counts) {
    int model = highestModel(counts);
    return pressures[model][counts[model]];
  }

  private boolean isFormable(int[] counts) {
    return isFormable(groups.counts(), counts, 0);
  }

  /** Returns true if the boxes left suffice for the models from a position of the order on. */
  private boolean isFormable(int[] left, int[] counts, int from) {
    for (int i = from; i < largestFirst.length; i++) {
      stepCount++;
      int model = largestFirst[i];
      if (!groups.take(left, model, counts[model] * sizes[model])) {
        return false;
      }
    }
    return true;
  }

  /** Returns the lowest numbers of replicas with which no pressure is above the limit. */
  private int[] fewestFor(double limit) {
    int[] counts = new int[sizes.length];
    for (int model = 0; model < sizes.length; model++) {
      while (pressures[model][counts[model]] > limit) {
        counts[model]++;
      }
    }
    return counts;
  }

  /** Returns the numbers with the lowest sum of pressures, each at least the given one. */
  private int[] lowestSum(int[] fewest) {
    // A first solution excludes most partial solutions from the full search.
    Partial first = Objects.requireNonNull(lowestSum(fewest, 1, Double.MAX_VALUE), "first");
    Partial best = lowestSum(fewest, BEAM_WIDTH, first.sum());
    return (best == null ? first : best).counts();
  }

  /** Returns the best of the kept solutions, or null if they all exceed the limit of the sum. */
  private @Nullable Partial lowestSum(int[] fewest, int width, double sumLimit) {
    List<Partial> partials = List.of(new Partial(groups.counts(), new int[sizes.length], 0, 0));
    for (int i = 0; i < largestFirst.length; i++) {
      Map<Left, Partial> next = new HashMap<>();
      for (Partial partial : partials) {
        extend(partial, i, fewest, sumLimit * (1 + ROUNDING), next);
      }
      partials = next.values().stream().sorted(Partial.BEST_FIRST).limit(width).toList();
    }
    return partials.isEmpty() ? null : partials.get(0);
  }

  /**
   * Adds the solutions with each possible number of replicas of the model at a position of the
   * order.
   */
  private void extend(
      Partial partial, int position, int[] fewest, double sumLimit, Map<Left, Partial> partials) {
    int model = largestFirst[position];
    int most = groups.usableCount(partial.left(), model) / sizes[model];
    for (int count = fewest[model]; count <= most; count++) {
      Partial extended = extend(partial, position, count, fewest);
      if (extended == null) {
        return;
      }
      boolean isAboveLimit = extended.lowerBound() > sumLimit;
      if (!isAboveLimit) {
        partials.merge(new Left(extended.left()), extended, Partial::better);
      }
    }
  }

  /**
   * Returns the solution with replicas of one more model, or null if too few boxes are left then.
   */
  private @Nullable Partial extend(Partial partial, int position, int count, int[] fewest) {
    int model = largestFirst[position];
    int[] left = partial.left().clone();
    groups.take(left, model, count * sizes[model]);
    if (!isFormable(left.clone(), fewest, position + 1)) {
      return null;
    }
    double laterAtBest = 0;
    for (int i = position + 1; i < largestFirst.length; i++) {
      int later = largestFirst[i];
      laterAtBest += pressures[later][groups.usableCount(left, later) / sizes[later]];
    }
    groups.dropUnusable(left, largestFirst, position + 1);
    int[] counts = partial.counts().clone();
    counts[model] = count;
    double sum = partial.sum() + pressures[model][count];
    return new Partial(left, counts, sum, sum + laterAtBest);
  }

  /**
   * Partial solution, for the models so far.
   *
   * @param left the number of boxes of each group that later models can use
   * @param counts the number of replicas of each model
   * @param sum the sum of the pressures of the models so far
   * @param lowerBound a lower bound of the sum with all models
   */
  private record Partial(int[] left, int[] counts, double sum, double lowerBound) {
    private static final Comparator<Partial> BEST_FIRST =
        Comparator.comparingDouble(Partial::lowerBound)
            .thenComparing((partial, other) -> Arrays.compare(other.counts, partial.counts));

    Partial better(Partial other) {
      return BEST_FIRST.compare(this, other) <= 0 ? this : other;
    }
  }

  /** Boxes that are left, as a key. */
  private record Left(int[] counts) {
    @Override
    public boolean equals(Object other) {
      return other instanceof Left left && Arrays.equals(counts, left.counts);
    }

    @Override
    public int hashCode() {
      return Arrays.hashCode(counts);
    }
  }
}
