package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shoreroad.fleet.ObservedBox.Reach;

class PressureSearchTest {
  private static final int SMALL_DOMAINS = 20_000;
  private static final int MAX_SMALL_BOXES = 12;
  private static final int MAX_SMALL_MODELS = 4;
  private static final int MAX_SIZE = 4;
  private static final double TOLERANCE = 1e-9;

  /**
   * Steps for each model and each replica that fits: of 64 partial solutions and of two first
   * searches.
   */
  private static final long MAX_STEPS_PER_MODEL_AND_REPLICA = 66;

  /** A few milliseconds. */
  private static final long MAX_STEPS_OF_SEVEN_MODELS = 20_000;

  /** Models, boxes and demand of a domain. */
  private record Domain(
      List<ModelShape> models,
      List<ObservedBox> boxes,
      Demand demand,
      Map<String, Integer> retained) {
    DomainPacking packing() {
      return DomainPacking.of(models, demand, List.of());
    }

    double highest(Map<String, Integer> formed) {
      return packing().highestPressure(retained, formed);
    }

    double sum(Map<String, Integer> formed) {
      double sum = 0;
      for (ModelShape model : models) {
        sum +=
            DomainPacking.of(List.of(model), demand, List.of()).highestPressure(retained, formed);
      }
      return sum;
    }
  }

  private static String model(int index) {
    return "m" + index;
  }

  private static Domain randomDomain(Random random, int boxCount, int modelCount, int maxSize) {
    List<ModelShape> models = new ArrayList<>();
    Map<String, Double> pressures = new HashMap<>();
    Map<String, Integer> replicas = new HashMap<>();
    Map<String, Integer> retained = new HashMap<>();
    Map<String, Double> needed = new HashMap<>();
    for (int i = 0; i < modelCount; i++) {
      models.add(
          new ModelShape(model(i), 1 + random.nextInt(maxSize), random.nextDouble(), 1, 12, 1));
      pressures.put(model(i), random.nextInt(12) / 10.0);
      replicas.put(model(i), random.nextInt(4));
      needed.put(model(i), random.nextInt(60) / 10.0);
      retained.put(model(i), random.nextInt(2));
    }
    Demand.Strain strain =
        random.nextBoolean() ? null : new Demand.Strain(needed, Map.of(), Map.of(), Map.of());
    boolean isPrepared = random.nextInt(3) == 0;
    List<ObservedBox> boxes = new ArrayList<>();
    for (int i = 0; i < boxCount; i++) {
      boxes.add(randomBox(random, i, modelCount, isPrepared));
    }
    return new Domain(models, boxes, new Demand(pressures, replicas, true, strain), retained);
  }

  private static ObservedBox randomBox(
      Random random, int index, int modelCount, boolean isPrepared) {
    List<String> staged = new ArrayList<>();
    for (int i = 0; i < modelCount; i++) {
      if (isPrepared || random.nextInt(modelCount) == 0) {
        staged.add(model(i));
      }
    }
    String lastModel = random.nextInt(3) == 0 ? null : model(random.nextInt(modelCount));
    FleetBox box = new FleetBox("b" + index, "llm", "b", "z", 4, false, "d", null, staged, null);
    return new ObservedBox(box, true, Reach.LIKELY, true, true, false, lastModel);
  }

  /** Returns the boxes so that the reference takes them in the same order as the search. */
  private static List<ObservedBox> inOrderOfUse(Domain domain) {
    Comparator<ObservedBox> byCosts =
        Comparator.comparing(
            box -> {
              StringBuilder costs = new StringBuilder();
              domain.models().forEach(model -> costs.append(box.joinCost(model)));
              return costs.toString();
            });
    return domain.boxes().stream()
        .sorted(
            Comparator.comparingLong(
                    (ObservedBox box) ->
                        domain.models().stream().filter(model -> !box.isCold(model)).count())
                .thenComparing(byCosts))
        .toList();
  }

  private static Map<String, Integer> bestListed(Domain domain) {
    List<ObservedBox> boxes = inOrderOfUse(domain);
    return ListedPackings.of(domain.models(), boxes.size()).stream()
        .map(packing -> ListedPackings.formable(domain.models(), packing, boxes))
        .min(
            Comparator.comparingDouble((Map<String, Integer> formed) -> domain.highest(formed))
                .thenComparingDouble(domain::sum))
        .orElse(Map.of());
  }

  /** Guards against a choice that differs in quality from the best of all packings. */
  @Test
  void choiceIsAsGoodAsTheBestOfAllPackings() {
    Random random = new Random(78);
    for (int i = 0; i < SMALL_DOMAINS; i++) {
      Domain domain =
          randomDomain(
              random,
              random.nextInt(MAX_SMALL_BOXES + 1),
              1 + random.nextInt(MAX_SMALL_MODELS),
              1 + random.nextInt(MAX_SIZE));
      Map<String, Integer> listed = bestListed(domain);
      Map<String, Integer> found = domain.packing().fill(domain.boxes(), domain.retained());
      String reason = i + ": " + domain + " listed " + listed + " found " + found;
      assertThat(reason, domain.highest(found), is(closeTo(domain.highest(listed), TOLERANCE)));
      assertThat(reason, domain.sum(found), is(closeTo(domain.sum(listed), TOLERANCE)));
      assertThat(
          reason,
          domain.packing().search(domain.boxes(), domain.retained()).lowestHighest(),
          is(closeTo(domain.highest(listed), TOLERANCE)));
    }
  }

  /** Guards against a choice that depends on the order in which a process knows the boxes. */
  @Test
  void choiceDoesNotDependOnTheOrderOfTheBoxes() {
    Random random = new Random(5);
    for (int i = 0; i < 200; i++) {
      Domain domain = randomDomain(random, 27, 5, 3);
      List<ObservedBox> shuffled = new ArrayList<>(domain.boxes());
      Collections.shuffle(shuffled, random);
      assertThat(
          domain.packing().fill(shuffled, domain.retained()),
          is(domain.packing().fill(domain.boxes(), domain.retained())));
    }
  }

  /** Guards against a decision that fails because the pressure of a model is no number. */
  @Test
  void pressureThatIsNoNumberIsAccepted() {
    Random random = new Random(3);
    Domain domain = randomDomain(random, 12, 3, 2);
    Demand demand = new Demand(Map.of(model(0), Double.NaN), Map.of(model(0), 1), true);
    DomainPacking packing = DomainPacking.of(domain.models(), demand, List.of());
    Map<String, Integer> formed = packing.fill(domain.boxes(), Map.of());
    assertThat(formed.size(), is(lessThanOrEqualTo(3)));
  }

  /**
   * Guards against work that grows exponentially with the models, which blocks the event loop. It
   * may grow with the boxes and the square of the models.
   */
  @ParameterizedTest
  @CsvSource({
    "7, 2", "7, 7", "7, 12", "7, 40", "27, 2", "27, 7", "27, 12", "27, 40", "37, 2", "37, 7",
    "37, 12", "37, 40", "120, 2", "120, 7", "120, 12", "120, 40", "300, 2", "300, 7", "300, 12",
    "300, 40"
  })
  void workIsBounded(int boxCount, int modelCount) {
    Random random = new Random(boxCount * 31L + modelCount);
    for (int i = 0; i < 30; i++) {
      Domain domain = randomDomain(random, boxCount, modelCount, 1 + i % 4);
      PressureSearch search = domain.packing().search(domain.boxes(), domain.retained());
      search.best();
      long replicas =
          domain.models().stream().mapToLong(model -> boxCount / model.boxes() + 1).sum();
      assertThat(
          search.stepCount(),
          is(lessThanOrEqualTo(MAX_STEPS_PER_MODEL_AND_REPLICA * modelCount * replicas)));
    }
  }

  /** Guards against the 134,596 packings of seven models of two boxes in a domain of 37. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void sevenModelsInADomainOf37BoxesTakeFewSteps(boolean isPrepared) {
    Random random = new Random(7);
    List<ModelShape> models = new ArrayList<>();
    Map<String, Double> pressures = new HashMap<>();
    for (int i = 0; i < 7; i++) {
      models.add(new ModelShape(model(i), 2, 1 / 7.0, 1, 12, 1.1));
      pressures.put(model(i), 0.1 * i);
    }
    List<ObservedBox> boxes = new ArrayList<>();
    for (int i = 0; i < 37; i++) {
      boxes.add(randomBox(random, i, 7, isPrepared));
    }
    Demand demand = new Demand(pressures, Map.of(), true);
    PressureSearch search = DomainPacking.of(models, demand, List.of()).search(boxes, Map.of());
    search.best();
    assertThat(search.stepCount(), is(lessThanOrEqualTo(MAX_STEPS_OF_SEVEN_MODELS)));
  }
}
