package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ReplicaId;

class LastModelsTest {
  private final LastModels models = new LastModels();

  private static FleetBox box(@Nullable String model, @Nullable MemberState state) {
    Membership membership = state == null ? null : new Membership(new ReplicaId("r", 1), 0, state);
    return new FleetBox("i-1", "s", "h:1", "z", 1, false, "d", model, List.of(), membership);
  }

  @Test
  void boxThatReportsNoModelKeepsItsLastOne() {
    models.note(box("m", MemberState.OPEN));
    models.note(box(null, null));
    assertThat(models.find("i-1"), is("m"));
  }

  @Test
  void joiningBoxThatReportsNoModelHasNone() {
    models.note(box("m", MemberState.OPEN));
    models.note(box(null, MemberState.JOINING));
    assertThat(models.find("i-1"), nullValue());
  }

  @Test
  void endedBoxIsRemoved() {
    models.note(box("m", MemberState.OPEN));
    models.remove("i-1");
    assertThat(models.find("i-1"), nullValue());
  }
}
