package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.AbstractCollection;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.ObservedBox.Reach;

class DomainPackingTest {
  private static final ModelShape LARGE = new ModelShape("large", 4, 0.67, 1, 16, 1.6);
  private static final ModelShape SMALL = new ModelShape("small", 2, 0.33, 0.6, 12, 1.1);

  private static DomainPacking packing(double large, double small) {
    Demand demand =
        new Demand(Map.of("large", large, "small", small), Map.of("large", 4, "small", 8), true);
    return DomainPacking.of(List.of(LARGE, SMALL), demand, List.of());
  }

  private static List<ObservedBox> boxes(int count, String lastModel, String... staged) {
    List<ObservedBox> boxes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      FleetBox box =
          new FleetBox("b" + i, "llm", "b:" + i, "z", 4, false, "d", null, List.of(staged), null);
      boxes.add(new ObservedBox(box, true, Reach.LIKELY, true, true, false, lastModel));
    }
    return boxes;
  }

  @Test
  void availableBoxesServeTheModelUnderTheHighestPressure() {
    List<ObservedBox> four = boxes(4, "large", "small");
    assertThat(packing(0.9, 0.2).fill(four, Map.of()), is(Map.of("large", 1)));
    assertThat(packing(0.2, 0.9).fill(four, Map.of()), is(Map.of("small", 2)));
  }

  @Test
  void replicaThatNeedsWeightsFromTheStoreIsNotFormed() {
    List<ObservedBox> four = boxes(4, "small");
    assertThat(packing(0.9, 0.2).fill(four, Map.of()), is(Map.of("small", 2)));
    assertThat(packing(0.9, 0.2).fill(boxes(4, null), Map.of()), is(Map.of()));
  }

  /** Collection that counts how often it is read. */
  private static final class CountedBoxes extends AbstractCollection<ObservedBox> {
    private final List<ObservedBox> boxes;
    private int readCount;

    CountedBoxes(List<ObservedBox> boxes) {
      this.boxes = boxes;
    }

    @Override
    public Iterator<ObservedBox> iterator() {
      readCount++;
      return boxes.iterator();
    }

    @Override
    public int size() {
      return boxes.size();
    }
  }

  /**
   * Guards against an event loop that is blocked for seconds, because each of the 134,596 ways to
   * fill 37 boxes with replicas of seven models is weighed.
   */
  @Test
  void boxesAreNotReadForEachWayToFillThem() {
    List<ModelShape> models = new ArrayList<>();
    Map<String, Double> pressures = new HashMap<>();
    for (int i = 0; i < 7; i++) {
      models.add(new ModelShape("m" + i, 2, 1 / 7.0, 1, 12, 1.1));
      pressures.put("m" + i, 0.1 * i);
    }
    CountedBoxes boxes =
        new CountedBoxes(boxes(37, null, "m0", "m1", "m2", "m3", "m4", "m5", "m6"));
    Demand demand = new Demand(pressures, Map.of(), true);
    Map<String, Integer> formed = DomainPacking.of(models, demand, List.of()).fill(boxes, Map.of());
    assertThat(formed.values().stream().mapToInt(Integer::intValue).sum(), is(18));
    assertThat(boxes.readCount, is(lessThanOrEqualTo(10)));
  }

  @Test
  void pressureFallsAsReplicasAreAdded() {
    DomainPacking packing = packing(0.6, 0.1);
    assertThat(packing.highestPressure(Map.of(), Map.of()), is(closeTo(0.6, 1e-9)));
    assertThat(packing.highestPressure(Map.of("large", 1), Map.of()), is(closeTo(0.48, 1e-9)));
    assertThat(
        packing.highestPressure(Map.of("large", 1), Map.of("large", 1)), is(closeTo(0.4, 1e-9)));
  }

  @Test
  void modelWithoutReplicaHasTheHighestPressure() {
    Demand demand = new Demand(Map.of("small", 5.0), Map.of("small", 1), true);
    DomainPacking packing = DomainPacking.of(List.of(LARGE, SMALL), demand, List.of());
    assertThat(packing.highestPressure(Map.of(), Map.of()), is(greaterThan(100.0)));
    assertThat(packing.fill(boxes(4, "large", "small"), Map.of()), is(Map.of("large", 1)));
  }

  @Test
  void needsCountWhileRequestsAreRefused() {
    Demand.Strain strain =
        new Demand.Strain(
            Map.of("large", 6.0, "small", 2.0),
            Map.of("large", 6.0, "small", 9.0),
            Map.of("large", 1),
            Map.of());
    Demand demand =
        new Demand(
            Map.of("large", 1.5, "small", 0.9), Map.of("large", 4, "small", 8), true, strain);
    DomainPacking packing = DomainPacking.of(List.of(LARGE, SMALL), demand, List.of());
    // One more large replica is being formed elsewhere.
    assertThat(packing.highestPressure(Map.of(), Map.of()), is(closeTo(6.0 / 5, 1e-9)));
    assertThat(packing.fill(boxes(4, "large", "small"), Map.of()), is(Map.of("large", 1)));
    assertThat(
        packing.atPeakOf(Set.of("small")).highestPressure(Map.of("large", 2), Map.of()),
        is(closeTo(9.0 / 8, 1e-9)));
  }

  @Test
  void closedReplicasOfTheDomainItselfDoNotHideReplicasElsewhere() {
    Demand.Strain strain = new Demand.Strain(Map.of("large", 6.0), Map.of(), Map.of(), Map.of());
    Demand demand = new Demand(Map.of(), Map.of("large", 4), true, strain);
    FleetBox box = boxes(1, null).get(0).box();
    // The head of a closed replica is in the same state as that of one that is being formed.
    FleetBox closed =
        box.withEngineState(
            null,
            List.of(),
            new Membership(ReplicaId.of("d", "large", 3, box), 0, MemberState.READY));
    ObservedBox head = new ObservedBox(closed, true, Reach.LIKELY, true, true, false, null);
    DomainPacking packing = DomainPacking.of(List.of(LARGE), demand, List.of(head));
    assertThat(packing.highestPressure(Map.of(), Map.of()), is(closeTo(6.0 / 4, 1e-9)));
  }

  @Test
  void formingReplicasOfTheDomainItselfAreNotCountedTwice() {
    Demand.Strain strain =
        new Demand.Strain(Map.of("large", 6.0), Map.of(), Map.of("large", 1), Map.of());
    Demand demand = new Demand(Map.of(), Map.of("large", 4), true, strain);
    FleetBox box = boxes(1, null).get(0).box();
    FleetBox forming =
        box.withEngineState(
            null,
            List.of(),
            new Membership(ReplicaId.of("d", "large", 3, box), 0, MemberState.JOINING));
    ObservedBox head = new ObservedBox(forming, true, Reach.LIKELY, true, true, false, null);
    DomainPacking packing = DomainPacking.of(List.of(LARGE), demand, List.of(head));
    assertThat(packing.highestPressure(Map.of("large", 1), Map.of()), is(closeTo(6.0 / 5, 1e-9)));
  }
}
