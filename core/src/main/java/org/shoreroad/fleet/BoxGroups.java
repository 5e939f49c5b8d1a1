package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Boxes of a domain, grouped by what they cost in joining a replica of each model. The boxes of a
 * group are interchangeable.
 *
 * <p>Replicas take boxes in a fixed order: those with the lowest cost first, and of these the ones
 * that fewest other models can use. So each process takes the same boxes, and a replica less of one
 * model never leaves fewer boxes to another. This class is immutable and thread-safe.
 */
final class BoxGroups {
  private static final int COLD = 2;

  private final int[] counts;
  private final int[][] groupsByModel;

  private BoxGroups(int[] counts, int[][] groupsByModel) {
    this.counts = counts;
    this.groupsByModel = groupsByModel;
  }

  /**
   * Groups boxes.
   *
   * @param boxes the boxes, not null
   * @param models the models, whose positions are used in the other methods, not null
   */
  static BoxGroups of(Collection<ObservedBox> boxes, List<ModelShape> models) {
    Map<String, Integer> countByCosts = new TreeMap<>(BoxGroups::compareUse);
    for (ObservedBox box : boxes) {
      StringBuilder costs = new StringBuilder(models.size());
      models.forEach(model -> costs.append((char) box.joinCost(model)));
      countByCosts.merge(costs.toString(), 1, Integer::sum);
    }
    List<String> groups = new ArrayList<>(countByCosts.keySet());
    int[][] groupsByModel = new int[models.size()][];
    for (int model = 0; model < models.size(); model++) {
      groupsByModel[model] = warmGroups(groups, model);
    }
    int[] counts = groups.stream().mapToInt(countByCosts::get).toArray();
    return new BoxGroups(counts, groupsByModel);
  }

  /** Orders the costs of boxes by the number of models that can use them. */
  private static int compareUse(String costs, String otherCosts) {
    int difference = Long.compare(usesOf(costs), usesOf(otherCosts));
    return difference == 0 ? costs.compareTo(otherCosts) : difference;
  }

  private static long usesOf(String costs) {
    return costs.chars().filter(cost -> cost != COLD).count();
  }

  /** Returns the groups that need no weights from the weight store, the lowest cost first. */
  private static int[] warmGroups(List<String> groups, int model) {
    return IntStream.range(0, groups.size())
        .filter(group -> groups.get(group).charAt(model) != COLD)
        .boxed()
        .sorted(Comparator.comparingInt(group -> groups.get(group).charAt(model)))
        .mapToInt(Integer::intValue)
        .toArray();
  }

  /** Returns the number of boxes of each group. */
  int[] counts() {
    return counts.clone();
  }

  /** Returns how many of the boxes that are left the model can use. */
  int usableCount(int[] left, int model) {
    int count = 0;
    for (int group : groupsByModel[model]) {
      count += left[group];
    }
    return count;
  }

  /**
   * Takes the boxes of replicas of a model.
   *
   * @param left the number of boxes that are left of each group, from which these are removed
   * @param boxCount the number of boxes, 0 or more
   * @return false if fewer are left; some of them are then removed
   */
  boolean take(int[] left, int model, int boxCount) {
    int missing = boxCount;
    for (int group : groupsByModel[model]) {
      int taken = Math.min(missing, left[group]);
      left[group] -= taken;
      missing -= taken;
    }
    return missing == 0;
  }

  /** Sets the groups to 0 that no model of the order from the position on can use. */
  void dropUnusable(int[] left, int[] order, int from) {
    int[] before = left.clone();
    Arrays.fill(left, 0);
    for (int i = from; i < order.length; i++) {
      for (int group : groupsByModel[order[i]]) {
        left[group] = before[group];
      }
    }
  }
}
