package org.shoreroad.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * Search for the replicas of a domain whose models have the most equal fill levels.
 *
 * <p>The fill level of a model is the number of its boxes per share. Of all ways to fill the boxes
 * until no other replica fits, the best one has the most models without replicas elsewhere, then
 * the least difference between the highest and the lowest level, then the most boxes in use, and
 * then more replicas of earlier models. For a lowest level, a table over the models and the numbers
 * of boxes gives the lowest highest level. The lower the one, the lower the other can be, so that
 * for each highest level a binary search finds the highest lowest level. Not thread-safe.
 */
final class LevelSearch {
  /** Relative error of a level. */
  private static final double ROUNDING = 1e-9;

  private final int boxCount;
  private final int[] sizes;
  private final double[][] levels;
  private final boolean[] isNew;
  private final int smallestSize;
  private final int newCount;
  private final boolean isEachNewServed;
  private long stepCount;

  /**
   * Creates a search.
   *
   * @param boxCount the number of boxes to fill, 0 or more
   * @param models the models by position, at least one
   * @param usedBoxes the number of boxes that serve each model elsewhere
   * @param isNew true for the position of a model without replicas elsewhere
   */
  LevelSearch(int boxCount, List<ModelShape> models, int[] usedBoxes, IntPredicate isNew) {
    this.boxCount = boxCount;
    this.sizes = models.stream().mapToInt(ModelShape::boxes).toArray();
    this.smallestSize = Arrays.stream(sizes).min().orElseThrow();
    this.isNew = new boolean[sizes.length];
    this.levels = new double[sizes.length][];
    for (int model = 0; model < sizes.length; model++) {
      this.isNew[model] = isNew.test(model);
      double share = models.get(model).share();
      levels[model] = new double[boxCount / sizes[model] + 1];
      for (int count = 0; count < levels[model].length; count++) {
        levels[model][count] = usedBoxes[model] / share + count * sizes[model] / share;
      }
    }
    int[] newSizes = newSizes();
    this.newCount = countServed(newSizes, boxCount);
    this.isEachNewServed = newCount == newSizes.length;
  }

  /** Returns the number of tried entries of the tables, which measures the work. */
  long stepCount() {
    return stepCount;
  }

  /** Returns the best number of replicas of each model. */
  int[] best() {
    double[] lowestLevels = lowestLevels();
    Filling best = Objects.requireNonNull(fill(0, Double.POSITIVE_INFINITY), "best");
    double lowestHighest = best.highest();
    double limit = Double.POSITIVE_INFINITY;
    int end = lowestLevels.length;
    while (end > 0 && limit >= lowestHighest) {
      Filling filling = highestLowest(lowestLevels, end, limit);
      if (filling == null) {
        break;
      }
      best = filling.isBetterThan(best) ? filling : best;
      // With the same highest level, a lower lowest level only widens the difference.
      end = Arrays.binarySearch(lowestLevels, filling.lowest());
      double widest = end > 0 ? lowestLevels[end - 1] + best.difference() : 0;
      limit = Math.min(Math.nextDown(filling.highest()), widest * (1 + ROUNDING));
    }
    return best.counts();
  }

  /** Returns the levels that can be the lowest one, in rising order. */
  private double[] lowestLevels() {
    return Arrays.stream(levels).flatMapToDouble(Arrays::stream).sorted().distinct().toArray();
  }

  /**
   * Returns the filling with the highest lowest level of those whose levels are not above the
   * limit, or null if there is none.
   *
   * @param end the number of the lowest levels that are tried
   */
  private @Nullable Filling highestLowest(double[] lowestLevels, int end, double limit) {
    Filling found = null;
    int from = 0;
    int to = end;
    while (from < to) {
      int middle = (from + to) >>> 1;
      Filling filling = fill(lowestLevels[middle], limit);
      if (filling == null) {
        to = middle;
      } else {
        found = filling;
        from = middle + 1;
      }
    }
    return found;
  }

  /** Returns the sizes of the models without replicas elsewhere, in rising order. */
  private int[] newSizes() {
    return IntStream.range(0, sizes.length)
        .filter(model -> isNew[model])
        .map(model -> sizes[model])
        .sorted()
        .toArray();
  }

  /** Returns how many models of these sizes, which are in rising order, can have a replica. */
  private static int countServed(int[] newSizes, int boxCount) {
    int count = 0;
    int used = 0;
    while (count < newSizes.length && used + newSizes[count] <= boxCount) {
      used += newSizes[count++];
    }
    return count;
  }

  /**
   * Returns the filling with the lowest highest level of those whose levels are neither below the
   * lowest one nor above the limit, or null if there is none that has enough new models.
   */
  private @Nullable Filling fill(double lowest, double limit) {
    int[] fewest = new int[sizes.length];
    int[] most = new int[sizes.length];
    int needed = 0;
    for (int model = 0; model < sizes.length; model++) {
      fewest[model] = fewest(model, lowest);
      most[model] = most(model, limit);
      needed += fewest[model] * sizes[model];
      if (fewest[model] > most[model] || needed > boxCount) {
        return null;
      }
    }
    Table table = new Table(fewest, most);
    int used = table.bestUsed();
    return table.newCounts[0][used] < newCount ? null : new Filling(table.counts(used));
  }

  /** Returns the fewest replicas of a model for a level that is not below the lowest one. */
  private int fewest(int model, double lowest) {
    int count = isNew[model] && isEachNewServed ? 1 : 0;
    while (count < levels[model].length && levels[model][count] < lowest) {
      count++;
    }
    return count;
  }

  /** Returns the most replicas of a model for a level that is not above the limit, or -1. */
  private int most(int model, double limit) {
    int count = levels[model].length - 1;
    while (count >= 0 && levels[model][count] > limit) {
      count--;
    }
    return count;
  }

  /**
   * Best fillings of the models from a position on with a number of boxes: those with the most new
   * models, and then with the lowest highest level.
   */
  private final class Table {
    private static final int IMPOSSIBLE = -1;

    private final int[] fewest;
    private final int[] most;
    private final int[][] newCounts = new int[sizes.length + 1][boxCount + 1];
    private final double[][] highest = new double[sizes.length + 1][boxCount + 1];

    Table(int[] fewest, int[] most) {
      this.fewest = fewest;
      this.most = most;
      Arrays.fill(newCounts[sizes.length], IMPOSSIBLE);
      newCounts[sizes.length][0] = 0;
      for (int model = sizes.length - 1; model >= 0; model--) {
        for (int used = 0; used <= boxCount; used++) {
          compute(model, used);
        }
      }
    }

    private void compute(int model, int used) {
      newCounts[model][used] = IMPOSSIBLE;
      for (int count = fewest[model]; count <= mostIn(model, used); count++) {
        stepCount++;
        int newModels = newCount(model, used, count);
        double level = highest(model, used, count);
        boolean isMore = newModels > newCounts[model][used];
        if (isMore || (newModels == newCounts[model][used] && level < highest[model][used])) {
          newCounts[model][used] = newModels;
          highest[model][used] = level;
        }
      }
    }

    private int mostIn(int model, int used) {
      return Math.min(most[model], used / sizes[model]);
    }

    private int newCount(int model, int used, int count) {
      int later = newCounts[model + 1][used - count * sizes[model]];
      return later == IMPOSSIBLE ? IMPOSSIBLE : later + (isNew[model] && count > 0 ? 1 : 0);
    }

    private double highest(int model, int used, int count) {
      return Math.max(highest[model + 1][used - count * sizes[model]], levels[model][count]);
    }

    /** Returns the number of boxes of the best filling that leaves no room for a replica. */
    int bestUsed() {
      int best = boxCount;
      for (int used = boxCount - 1; used > boxCount - smallestSize && used >= 0; used--) {
        boolean isMore = newCounts[0][used] > newCounts[0][best];
        boolean isAsMany = newCounts[0][used] == newCounts[0][best];
        if (isMore || (isAsMany && highest[0][used] < highest[0][best])) {
          best = used;
        }
      }
      return best;
    }

    /** Returns the filling with that number of boxes that has more replicas of earlier models. */
    int[] counts(int used) {
      int[] counts = new int[sizes.length];
      double limit = highest[0][used];
      int left = used;
      for (int model = 0; model < sizes.length; model++) {
        int count = mostIn(model, left);
        while (newCount(model, left, count) != newCounts[model][left]
            || highest(model, left, count) > limit) {
          count--;
        }
        counts[model] = count;
        left -= count * sizes[model];
      }
      return counts;
    }
  }

  /** Numbers of replicas with their difference of levels and the boxes in use. */
  private final class Filling {
    private final int[] counts;
    private final double lowest;
    private final double highest;
    private final double difference;
    private final int used;

    Filling(int[] counts) {
      double least = Double.POSITIVE_INFINITY;
      double most = 0;
      int boxes = 0;
      for (int model = 0; model < sizes.length; model++) {
        least = Math.min(least, levels[model][counts[model]]);
        most = Math.max(most, levels[model][counts[model]]);
        boxes += counts[model] * sizes[model];
      }
      this.counts = counts;
      this.lowest = least;
      this.highest = most;
      this.difference = most - least;
      this.used = boxes;
    }

    int[] counts() {
      return counts;
    }

    double lowest() {
      return lowest;
    }

    double highest() {
      return highest;
    }

    double difference() {
      return difference;
    }

    boolean isBetterThan(Filling other) {
      if (difference != other.difference) {
        return difference < other.difference;
      }
      return used == other.used ? Arrays.compare(counts, other.counts) > 0 : used > other.used;
    }
  }
}
