package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class FleetBoxTest {
  private static final Membership MEMBERSHIP =
      new Membership(new ReplicaId("r", 3), 1, MemberState.READY);

  private static FleetBox box(
      String id,
      String zone,
      int slots,
      @Nullable String model,
      List<String> staged,
      @Nullable Membership membership) {
    return new FleetBox(id, "s", "h:1", zone, slots, false, "d", model, staged, membership);
  }

  private static FleetBox defaultBox() {
    return box("i", "z", 4, "m", List.of("n"), MEMBERSHIP);
  }

  @Test
  void boxesWithEqualComponentsAreEqual() {
    assertThat(defaultBox(), is(defaultBox()));
    assertThat(defaultBox().hashCode(), is(defaultBox().hashCode()));
    FleetBox minimalBox = new FleetBox("i", "s", "h:1", "z", 4, false, null, null, List.of(), null);
    assertThat(
        minimalBox, is(new FleetBox("i", "s", "h:1", "z", 4, false, null, null, List.of(), null)));
  }

  @Test
  void boxesThatDifferInOneComponentAreNotEqual() {
    List<FleetBox> others =
        List.of(
            box("j", "z", 4, "m", List.of("n"), MEMBERSHIP),
            box("i", "y", 4, "m", List.of("n"), MEMBERSHIP),
            box("i", "z", 5, "m", List.of("n"), MEMBERSHIP),
            box("i", "z", 4, "o", List.of("n"), MEMBERSHIP),
            box("i", "z", 4, null, List.of("n"), MEMBERSHIP),
            box("i", "z", 4, "m", List.of(), MEMBERSHIP),
            box("i", "z", 4, "m", List.of("n"), null),
            defaultBox().withLeaving(),
            new FleetBox("i", "t", "h:1", "z", 4, false, "d", "m", List.of("n"), MEMBERSHIP),
            new FleetBox("i", "s", "h:2", "z", 4, false, "d", "m", List.of("n"), MEMBERSHIP),
            new FleetBox("i", "s", "h:1", "z", 4, false, "e", "m", List.of("n"), MEMBERSHIP));
    assertThat(others, everyItem(is(not(defaultBox()))));
  }

  @Test
  void membershipsThatDifferInOneComponentAreNotEqual() {
    assertThat(new Membership(new ReplicaId("r", 3), 1, MemberState.READY), is(MEMBERSHIP));
    List<Membership> others =
        List.of(
            new Membership(new ReplicaId("q", 3), 1, MemberState.READY),
            new Membership(new ReplicaId("r", 4), 1, MemberState.READY),
            new Membership(new ReplicaId("r", 3), 2, MemberState.READY),
            new Membership(new ReplicaId("r", 3), 1, MemberState.OPEN));
    assertThat(others, everyItem(is(not(MEMBERSHIP))));
    assertThat(MEMBERSHIP.toString(), is("Membership[replica=r@3, rank=1, state=READY]"));
  }
}
