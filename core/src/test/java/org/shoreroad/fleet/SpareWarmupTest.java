package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.ObservedBox.Reach;

class SpareWarmupTest {
  private static final List<ModelShape> MODELS = FakeDomain.spec().models();

  private final List<ObservedBox> unconfirmed = new ArrayList<>();
  private long epoch;
  private final SpareWarmup warmups = new SpareWarmup("d", () -> ++epoch);

  private static ObservedBox spare(String id, @Nullable String staged, @Nullable String lastModel) {
    List<String> onHost = staged == null ? List.of() : List.of(staged);
    FleetBox box = new FleetBox(id, "llm", id + ":1", "z", 18, false, "d", null, onHost, null);
    return new ObservedBox(box, true, Reach.LIKELY, true, true, false, lastModel);
  }

  @Test
  void spareBoxJoinsAReplicaOfTheModelOnItsHostAlone() {
    List<BoxOrder> orders =
        warmups.begin(List.of(spare("a", "small", null)), MODELS, unconfirmed::add, 0);
    assertThat(orders.size(), is(1));
    assertThat(orders.get(0).verb(), is(BoxOrder.Verb.JOIN));
    assertThat(orders.get(0).model(), is("small"));
    assertThat(orders.get(0).members(), contains("a"));
  }

  @Test
  void boxWithLastModelOrWithoutWeightsGetsNoOrder() {
    List<ObservedBox> free = List.of(spare("a", "small", "large"), spare("b", null, null));
    assertThat(warmups.begin(free, MODELS, unconfirmed::add, 0), is(empty()));
  }

  @Test
  void onlyOneWarmupRunsAtATime() {
    List<ObservedBox> free = List.of(spare("a", "small", null), spare("b", "large", null));
    assertThat(warmups.begin(free, MODELS, unconfirmed::add, 0).size(), is(1));
    assertThat(warmups.begin(free, MODELS, unconfirmed::add, 1), is(empty()));
    warmups.forgetOlder(5);
    assertThat(warmups.begin(free, MODELS, unconfirmed::add, 6).size(), is(1));
  }

  @Test
  void boxThatOnlyTheListShowsAsFreeIsAskedBeforeItsWarmup() {
    ObservedBox listed = spare("a", "small", null);
    ObservedBox unreported =
        new ObservedBox(listed.box(), true, Reach.LIKELY, true, false, false, null);
    assertThat(warmups.begin(List.of(unreported), MODELS, unconfirmed::add, 0), is(empty()));
    assertThat(unconfirmed, contains(unreported));
    assertThat(warmups.begin(List.of(listed), MODELS, unconfirmed::add, 1).size(), is(1));
  }
}
