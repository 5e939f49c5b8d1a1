package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.ObservedBox.Reach;

class ReplicaChoicesTest {
  private static final List<ModelShape> MODELS =
      List.of(
          new ModelShape("large", 4, 0.67, 1, 16, 1.6),
          new ModelShape("small", 2, 0.33, 0.6, 12, 1.1));

  private final List<ObservedBox> observedBoxes = new ArrayList<>();

  private void addReplica(String name, List<String> staged) {
    addReplica(name, staged, staged);
  }

  private void addReplica(String name, List<String> stagedAtHead, List<String> stagedAtMember) {
    for (int rank = 0; rank < 2; rank++) {
      List<String> staged = rank == 0 ? stagedAtHead : stagedAtMember;
      MemberState state = rank == 0 ? MemberState.OPEN : MemberState.READY;
      Membership membership = new Membership(new ReplicaId(name, 1), rank, state);
      String id = name + rank;
      FleetBox box = new FleetBox(id, "llm", id, "z", 4, false, "d", "small", staged, membership);
      observedBoxes.add(new ObservedBox(box, true, Reach.LIKELY, true, true, false, "small"));
    }
  }

  private List<ObservedReplica> replicas() {
    return List.copyOf(ObservedReplica.from(observedBoxes).values());
  }

  private List<String> choices() {
    return ReplicaChoices.oneOrTwoOf(replicas(), MODELS).stream()
        .map(
            choice ->
                String.join("+", choice.stream().map(replica -> replica.replica().name()).toList()))
        .toList();
  }

  @Test
  void withoutReplicasThereIsNoChoice() {
    assertThat(choices(), is(empty()));
  }

  @Test
  void replicasWithTheSameWeightsAreOneChoice() {
    for (int i = 0; i < 60; i++) {
      addReplica("r" + i, List.of("large"));
    }
    assertThat(choices(), contains("r0", "r0+r1"));
  }

  @Test
  void replicasWithOtherWeightsAreOtherChoices() {
    addReplica("a", List.of());
    addReplica("b", List.of("large"));
    addReplica("c", List.of());
    assertThat(choices(), contains("a", "a+b", "a+c", "b", "b+c"));
  }

  /** Guards against different choices that close replicas of the same use. */
  @Test
  void orderOfTheBoxesMakesNoOtherUse() {
    addReplica("a", List.of("large"), List.of());
    addReplica("b", List.of(), List.of("large"));
    assertThat(choices(), contains("a", "a+b"));
  }

  /** Guards against work that grows with the square of the replicas, if all hold other weights. */
  @Test
  void numberOfChoicesIsBounded() {
    for (int i = 0; i < 150; i++) {
      List<String> staged = new ArrayList<>();
      for (int bit = 0; bit < 8; bit++) {
        if ((i >> bit & 1) == 1) {
          staged.add("m" + bit);
        }
      }
      addReplica("r" + i, staged);
    }
    List<ModelShape> models = new ArrayList<>();
    for (int bit = 0; bit < 8; bit++) {
      models.add(new ModelShape("m" + bit, 2, 0.1, 1, 12, 1.1));
    }
    List<List<ObservedReplica>> choices = ReplicaChoices.oneOrTwoOf(replicas(), models);
    assertThat(choices.size(), is(lessThanOrEqualTo(24 + 24 * 24)));
    assertThat(choices.get(0).get(0).replica().name(), is("r0"));
  }

  /** Returns the replicas that the boxes of the closed ones and a free box form. */
  private Map<String, Integer> formed(List<ObservedReplica> closed, ObservedBox free) {
    Demand demand =
        new Demand(Map.of("large", 0.9, "small", 0.1), Map.of("large", 4, "small", 40), true);
    List<ObservedBox> boxes = new ArrayList<>(List.of(free));
    closed.forEach(replica -> boxes.addAll(replica.members()));
    return new HashMap<>(DomainPacking.of(MODELS, demand, List.of()).fill(boxes, Map.of()));
  }

  @Test
  void everyPairFormsWhatOneOfTheChoicesForms() {
    Random random = new Random(7);
    FleetBox box = new FleetBox("f", "llm", "f", "z", 4, false, "d", null, List.of("large"), null);
    ObservedBox free = new ObservedBox(box, true, Reach.LIKELY, true, true, false, "small");
    for (int i = 0; i < 20; i++) {
      addReplica("r" + i, random.nextBoolean() ? List.of("large") : List.of());
    }
    List<ObservedReplica> replicas = replicas();
    Set<Map<String, Integer>> ofChoices = new HashSet<>();
    List<List<ObservedReplica>> choices = ReplicaChoices.oneOrTwoOf(replicas, MODELS);
    choices.forEach(choice -> ofChoices.add(formed(choice, free)));
    Set<Map<String, Integer>> ofAll = new HashSet<>();
    for (ObservedReplica one : replicas) {
      ofAll.add(formed(List.of(one), free));
      for (ObservedReplica other : replicas) {
        if (one != other) {
          ofAll.add(formed(List.of(one, other), free));
        }
      }
    }
    assertThat(ofChoices, is(ofAll));
    // Two kinds of replicas: two single ones and four ordered pairs.
    assertThat(choices.size(), is(lessThanOrEqualTo(6)));
  }
}
