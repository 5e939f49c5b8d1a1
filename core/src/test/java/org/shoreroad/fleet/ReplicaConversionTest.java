package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.ObservedBox.Reach;

class ReplicaConversionTest {
  private static final List<ModelShape> MODELS =
      List.of(
          new ModelShape("large", 4, 0.67, 1, 16, 1.6),
          new ModelShape("small", 2, 0.33, 0.6, 12, 1.1));
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final ReplicaConversion conversion = new ReplicaConversion("d");
  private final List<ObservedBox> observedBoxes = new ArrayList<>();

  /** Initially a second that is not the turn of this domain. */
  private long nowNanos = (8 * 125 + 1 - "d".hashCode() % 8) * SECOND_NANOS;

  private Demand demand = demand(0.9, 0.2);

  private static Demand demand(double large, double small) {
    return new Demand(Map.of("large", large, "small", small), Map.of("large", 3, "small", 8), true);
  }

  private void addSmallReplica(String name) {
    ReplicaId replica = new ReplicaId(name, 1);
    for (int rank = 0; rank < 2; rank++) {
      MemberState state = rank == 0 ? MemberState.OPEN : MemberState.READY;
      add(name + rank, "small", new Membership(replica, rank, state));
    }
  }

  private void add(String id, String lastModel, Membership membership) {
    String model = membership == null ? null : lastModel;
    FleetBox box =
        new FleetBox(
            id, "llm", id, "z", 4, false, "d", model, List.of("large", "small"), membership);
    observedBoxes.add(new ObservedBox(box, true, Reach.LIKELY, true, true, false, lastModel));
  }

  private List<String> choose() {
    DomainView view = new DomainView(observedBoxes);
    List<ObservedReplica> replicas = List.copyOf(ObservedReplica.from(observedBoxes).values());
    replicas.forEach(replica -> view.bindRetained(replica.members(), "small"));
    DomainPacking packing = DomainPacking.of(MODELS, demand, observedBoxes);
    Map<String, Integer> wanted = new HashMap<>(view.retained());
    packing
        .fill(view.available(), view.retained())
        .forEach((name, more) -> wanted.merge(name, more, Integer::sum));
    return conversion.choose(view, packing, wanted, replicas, nowNanos).stream()
        .map(replica -> replica.replica().name())
        .toList();
  }

  private void addAvailableBoxes() {
    for (int i = 0; i < 3; i++) {
      add("free" + i, "large", null);
    }
  }

  @Test
  void smallReplicaIsClosedWhenBoxesBecomeAvailableForAModelUnderHigherPressure() {
    addSmallReplica("a");
    addSmallReplica("b");
    assertThat(choose(), is(empty()));
    addAvailableBoxes();
    assertThat(choose().size(), is(1));
  }

  @Test
  void noReplicaIsClosedForAModelUnderLowerPressure() {
    demand = demand(0.2, 0.9);
    addSmallReplica("a");
    assertThat(choose(), is(empty()));
    addAvailableBoxes();
    assertThat(choose(), is(empty()));
  }

  @Test
  void noReplicaIsClosedForBoxesAvailableSinceTheFirstCall() {
    addSmallReplica("a");
    addAvailableBoxes();
    assertThat(choose(), is(empty()));
    assertThat(choose(), is(empty()));
  }

  @Test
  void replicaIsClosedForAModelUnderHighPressureInTheTurnOfTheDomain() {
    addSmallReplica("a");
    addAvailableBoxes();
    assertThat(choose(), is(empty()));
    nowNanos += 7 * SECOND_NANOS;
    assertThat(choose().size(), is(1));
  }

  @Test
  void noReplicaIsClosedForAModelUnderModeratePressure() {
    demand = demand(0.7, 0.1);
    addSmallReplica("a");
    addAvailableBoxes();
    for (int second = 0; second < 16; second++) {
      assertThat(choose(), is(empty()));
      nowNanos += SECOND_NANOS;
    }
  }

  @Test
  void replicasAreClosedImmediatelyForAModelWithoutReplica() {
    demand = new Demand(Map.of("small", 0.2), Map.of("small", 8), true);
    addSmallReplica("a");
    addSmallReplica("b");
    assertThat(choose().size(), is(2));
  }

  @Test
  void noReplicaIsClosedWithinTheIntervalAfterAConversion() {
    addSmallReplica("a");
    addSmallReplica("b");
    choose();
    addAvailableBoxes();
    assertThat(choose().size(), is(1));
    add("later", "large", null);
    nowNanos += 5 * SECOND_NANOS;
    assertThat(choose(), is(empty()));
    add("latest", "large", null);
    nowNanos += 2 * SECOND_NANOS;
    assertThat(choose().size() <= 2, is(true));
  }
}
