package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.ObservedBox.Reach;

class ReplicaCompletionTest {
  private static final ModelShape LARGE = new ModelShape("large", 12, 0.5, 1, 16, 1.6);
  private static final ModelShape SMALL = new ModelShape("small", 6, 0.5, 0.6, 12, 1.1);

  private final List<ObservedBox> free = new ArrayList<>();
  private final Set<String> loadingLarge = new HashSet<>();

  private void add(int count, @Nullable String lastModel, String... staged) {
    for (int i = 0; i < count; i++) {
      String id = "b" + free.size();
      FleetBox box =
          new FleetBox(id, "llm", id + ":1", "z", 4, false, "d", null, List.of(staged), null);
      free.add(new ObservedBox(box, true, Reach.LIKELY, true, true, false, lastModel));
    }
  }

  private @Nullable ReplicaCompletion choose() {
    return ReplicaCompletion.choose(
        free,
        List.of(LARGE, SMALL),
        (observed, model) -> model == LARGE && loadingLarge.contains(observed.box().id()));
  }

  private List<String> chosenIds() {
    return choose().boxes().stream().map(observed -> observed.box().id()).toList();
  }

  @Test
  void boxWithoutWeightsCompletesAReplicaThatLacksOneBox() {
    add(11, "large", "large");
    add(1, "small", "small");
    add(2, null);
    assertThat(choose().model(), is(LARGE));
    assertThat(chosenIds(), contains("b12"));
  }

  @Test
  void modelWithTheFewestLoadsForItsSizeIsChosen() {
    add(8, "large", "large");
    add(5, "small", "small");
    assertThat(choose().model(), is(SMALL));
    assertThat(chosenIds().size(), is(1));
  }

  @Test
  void loadThatHasBegunCounts() {
    add(10, "large", "large");
    add(4, null);
    loadingLarge.add("b13");
    assertThat(chosenIds(), containsInAnyOrder("b13", "b10"));
  }

  @Test
  void nothingIsLoadedIfAReplicaNeedsNoLoad() {
    add(11, "large", "large", "small");
    add(2, null);
    assertThat(choose(), is(nullValue()));
  }

  @Test
  void nothingIsLoadedIfTheBoxesAreTooFew() {
    add(3, "large", "large");
    add(2, null);
    assertThat(choose(), is(nullValue()));
  }

  @Test
  void replicaOfBoxesWithoutWeightsIsNoCompletion() {
    add(14, null);
    assertThat(choose(), is(nullValue()));
  }
}
