package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LevelSearchTest {
  private static final int SMALL_DOMAINS = 20_000;
  private static final int MAX_SMALL_BOXES = 14;
  private static final int MAX_SMALL_MODELS = 4;
  private static final int MAX_SIZE = 4;

  /**
   * Allowed multiple of the models times the square of the boxes: one full table for each step of a
   * binary search over the levels of 300 boxes and 40 models.
   */
  private static final long MAX_TABLES = 14;

  /** Models and boxes of a domain, and what serves the models elsewhere. */
  private record Domain(
      List<ModelShape> models, int boxes, Map<String, Integer> used, Set<String> planned) {
    LevelSearch search() {
      return ReplicaPlan.search(models, boxes, used, planned);
    }

    int newCount(Map<String, Integer> packing) {
      return (int) packing.keySet().stream().filter(model -> !planned.contains(model)).count();
    }

    double difference(Map<String, Integer> packing) {
      double lowest = Double.MAX_VALUE;
      double highest = 0;
      for (ModelShape model : models) {
        double level =
            used.getOrDefault(model.name(), 0) / model.share()
                + packing.getOrDefault(model.name(), 0) * model.boxes() / model.share();
        lowest = Math.min(lowest, level);
        highest = Math.max(highest, level);
      }
      return highest - lowest;
    }

    int usedBoxes(Map<String, Integer> packing) {
      return models.stream()
          .mapToInt(model -> packing.getOrDefault(model.name(), 0) * model.boxes())
          .sum();
    }

    Map<String, Integer> found() {
      int[] counts = search().best();
      Map<String, Integer> found = new HashMap<>();
      for (int i = 0; i < counts.length; i++) {
        if (counts[i] > 0) {
          found.put(models.get(i).name(), counts[i]);
        }
      }
      return found;
    }

    Map<String, Integer> bestListed() {
      return Collections.min(
          ListedPackings.of(models, boxes),
          Comparator.comparingInt((Map<String, Integer> packing) -> -newCount(packing))
              .thenComparingDouble(this::difference)
              .thenComparingInt(packing -> -usedBoxes(packing)));
    }
  }

  private static Domain randomDomain(
      Random random, int boxes, int modelCount, int maxSize, double minShare) {
    List<ModelShape> models = new ArrayList<>();
    Map<String, Integer> used = new HashMap<>();
    Set<String> planned = new HashSet<>();
    boolean isEqual = random.nextInt(3) == 0;
    for (int i = 0; i < modelCount; i++) {
      double share = isEqual ? 1.0 / modelCount : minShare + random.nextDouble();
      models.add(new ModelShape("m" + i, 1 + random.nextInt(maxSize), share, 1, 12, 1));
      if (random.nextInt(3) > 0) {
        planned.add("m" + i);
      }
      if (random.nextInt(3) > 0) {
        used.put("m" + i, random.nextInt(30));
      }
    }
    return new Domain(models, boxes, used, planned);
  }

  /** Guards against a plan that differs from the one that lists all packings. */
  @Test
  void choiceIsTheBestOfAllPackings() {
    Random random = new Random(78);
    for (int i = 0; i < SMALL_DOMAINS; i++) {
      Domain domain =
          randomDomain(
              random,
              random.nextInt(MAX_SMALL_BOXES + 1),
              1 + random.nextInt(MAX_SMALL_MODELS),
              1 + random.nextInt(MAX_SIZE),
              random.nextBoolean() ? 0.001 : 0.1);
      assertThat(i + ": " + domain, domain.found(), is(domain.bestListed()));
    }
  }

  /** Guards against a plan that fails because a share is so small that a level is infinite. */
  @Test
  void tinyShareIsPlanned() {
    List<ModelShape> models =
        List.of(new ModelShape("a", 2, 1e-320, 1, 12, 1), new ModelShape("b", 2, 0.5, 1, 12, 1));
    Domain domain = new Domain(models, 9, Map.of(), Set.of());
    assertThat(domain.newCount(domain.found()), is(2));
    assertThat(domain.usedBoxes(domain.found()), is(8));
  }

  /**
   * Guards against work that grows exponentially with the models, which blocks the event loop. It
   * may grow with the models and the square of the boxes.
   */
  @ParameterizedTest
  @CsvSource({
    "7, 2", "7, 7", "7, 12", "7, 40", "27, 2", "27, 7", "27, 12", "27, 40", "37, 2", "37, 7",
    "37, 12", "37, 40", "120, 2", "120, 7", "120, 12", "120, 40", "300, 2", "300, 7", "300, 12",
    "300, 40"
  })
  void workIsBounded(int boxCount, int modelCount) {
    Random random = new Random(boxCount * 31L + modelCount);
    for (int i = 0; i < 60; i++) {
      LevelSearch search = unevenDomain(random, boxCount, modelCount, 1 + i % 8).search();
      search.best();
      long squareOfBoxes = (boxCount + 1L) * (boxCount + 1L);
      assertThat(
          search.stepCount(), is(lessThanOrEqualTo(MAX_TABLES * modelCount * squareOfBoxes)));
    }
  }

  /** Returns a domain whose shares differ by up to four orders of magnitude. */
  private static Domain unevenDomain(Random random, int boxes, int modelCount, int maxSize) {
    List<ModelShape> models = new ArrayList<>();
    Map<String, Integer> used = new HashMap<>();
    Set<String> planned = new HashSet<>();
    for (int i = 0; i < modelCount; i++) {
      double share = Math.pow(10, -4 * random.nextDouble());
      int size = Math.min(boxes, 1 + random.nextInt(maxSize));
      models.add(new ModelShape("m" + i, size, share, 1, 12, 1));
      if (random.nextInt(3) > 0) {
        planned.add("m" + i);
      }
      used.put("m" + i, random.nextInt(2) * random.nextInt(400));
    }
    return new Domain(models, boxes, used, planned);
  }
}
