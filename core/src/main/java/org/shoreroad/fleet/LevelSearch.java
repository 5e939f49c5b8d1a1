package org.shoreroad.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * Search for the replicas of a domain whose models have the most equal fill levels.
 *
 * <p>The fill level of a model is the number of its boxes per share. Of all ways to fill the boxes
 * until no other replica fits, the best one has the most models without replicas elsewhere, then
 * the least difference between the highest and the lowest level, then the most boxes in use, and
 * then more replicas of earlier models. For each possible lowest level, a table over the models and
 * the numbers of boxes gives the lowest highest level. Only lowest levels that can lead to a
 * smaller difference are tried. Not thread-safe.
 */
final class LevelSearch {
  private final int boxCount;
  private final int[] sizes;
  private final double[][] levels;
  private final boolean[] isNew;
  private final int smallestSize;
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
  }

  /** Returns the number of tried entries of the tables, which measures the work. */
  long stepCount() {
    return stepCount;
  }

  /** Returns the best number of replicas of each model. */
  int[] best() {
    int newCount = newCount();
    boolean isEachNewServed = newCount == countNewModels();
    Filling best =
        Objects.requireNonNull(
            fill(0, Double.POSITIVE_INFINITY, newCount, isEachNewServed), "best");
    double lowestHighest = best.highest();
    for (double lowest : lowestLevels(isEachNewServed).descendingSet()) {
      if (lowestHighest - lowest > best.difference()) {
        break;
      }
      Filling filling = fill(lowest, best.difference(), newCount, isEachNewServed);
      if (filling != null && filling.isBetterThan(best)) {
        best = filling;
      }
    }
    return best.counts();
  }

  private int countNewModels() {
    return (int) IntStream.range(0, sizes.length).filter(model -> isNew[model]).count();
  }

  /** Returns how many models without replicas elsewhere can have one; the smallest are counted. */
  private int newCount() {
    int[] newSizes =
        IntStream.range(0, sizes.length)
            .filter(model -> isNew[model])
            .map(model -> sizes[model])
            .sorted()
            .toArray();
    int count = 0;
    int used = 0;
    while (count < newSizes.length && used + newSizes[count] <= boxCount) {
      used += newSizes[count++];
    }
    return count;
  }

  /** Returns the fewest replicas that each filling has of a model. */
  private int fewest(int model, boolean isEachNewServed) {
    return isEachNewServed && isNew[model] ? 1 : 0;
  }

  /** Returns the fewest replicas of a model for a level that is not below the lowest one. */
  private int fewest(int model, double lowest, boolean isEachNewServed) {
    int count = fewest(model, isEachNewServed);
    while (count < levels[model].length && levels[model][count] < lowest) {
      count++;
    }
    return count;
  }

  /** Returns the possible lowest levels, for which there are enough boxes. */
  private TreeSet<Double> lowestLevels(boolean isEachNewServed) {
    TreeSet<Double> possible = new TreeSet<>();
    double unserved = 0;
    for (int model = 0; model < sizes.length; model++) {
      unserved = Math.max(unserved, isNew[model] ? levels[model][0] : 0);
      for (double level : levels[model]) {
        possible.add(level);
      }
    }
    double most = isEachNewServed ? Double.POSITIVE_INFINITY : unserved;
    possible.removeIf(level -> level > most || !hasBoxesFor(level, isEachNewServed));
    return possible;
  }

  private boolean hasBoxesFor(double lowest, boolean isEachNewServed) {
    int needed = 0;
    for (int model = 0; model < sizes.length; model++) {
      needed += fewest(model, lowest, isEachNewServed) * sizes[model];
    }
    return needed <= boxCount;
  }

  /**
   * Returns the filling with the lowest highest level of those whose levels are not below the
   * lowest one, or null if the difference is wider than the limit or a new model is missing.
   */
  private @Nullable Filling fill(
      double lowest, double widest, int newCount, boolean isEachNewServed) {
    int[] fewest = new int[sizes.length];
    int[] most = new int[sizes.length];
    for (int model = 0; model < sizes.length; model++) {
      fewest[model] = fewest(model, lowest, isEachNewServed);
      most[model] = levels[model].length - 1;
      while (most[model] >= 0 && levels[model][most[model]] - lowest > widest) {
        most[model]--;
      }
    }
    Table table = new Table(fewest, most);
    int used = table.bestUsed();
    return table.newCounts[0][used] < newCount ? null : new Filling(table.counts(used));
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
    private final double highest;
    private final double difference;
    private final int used;

    Filling(int[] counts) {
      double lowest = Double.MAX_VALUE;
      double most = 0;
      int boxes = 0;
      for (int model = 0; model < sizes.length; model++) {
        lowest = Math.min(lowest, levels[model][counts[model]]);
        most = Math.max(most, levels[model][counts[model]]);
        boxes += counts[model] * sizes[model];
      }
      this.counts = counts;
      this.highest = most;
      this.difference = most - lowest;
      this.used = boxes;
    }

    int[] counts() {
      return counts;
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
