package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.ObservedBox.Reach;

class DomainViewTest {
  private static final ModelShape MODEL = new ModelShape("m", 2, 0.5, 1, 12, 1.1);

  private static ObservedBox box(String id, String lastModel, String... staged) {
    FleetBox box = new FleetBox(id, "llm", id, "z", 4, false, "d", null, List.of(staged), null);
    return new ObservedBox(box, true, Reach.LIKELY, true, true, false, lastModel);
  }

  private static List<String> picked(ObservedBox... boxes) {
    return new DomainView(List.of(boxes))
        .pickMembers(MODEL).stream().map(observed -> observed.box().id()).toList();
  }

  /** Guards against a planned replica of another model that finds its only boxes taken. */
  @Test
  void boxesThatOtherModelsCanUseAreLeftToThem() {
    assertThat(
        picked(box("a", "m", "n"), box("b", "m", "m"), box("c", "m"), box("d", "n", "m")),
        contains("b", "c"));
  }

  @Test
  void boxesThatCanJoinSoonestComeFirst() {
    assertThat(
        picked(box("a", "n"), box("b", "n", "m"), box("c", "m", "n"), box("d", null, "m")),
        contains("c", "d"));
  }
}
