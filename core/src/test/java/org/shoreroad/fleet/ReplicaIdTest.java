package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import org.junit.jupiter.api.Test;

class ReplicaIdTest {
  private static final FleetBox HEAD =
      new FleetBox("i-3", "llm", "10.0.0.3:81", "z", 4, false, "d|1", null, List.of(), null);

  @Test
  void nameContainsTheIdAndAddressOfTheHead() {
    ReplicaId replica = ReplicaId.of("d|1", "m", 17, HEAD);
    assertThat(replica.headId(), is("i-3"));
    assertThat(replica.headAddress(), is("10.0.0.3:81"));
    assertThat(replica.epoch(), is(17L));
  }

  @Test
  void headIsNullForANameWithoutHead() {
    for (String name : new String[] {"d-m-17", "d|m", ""}) {
      assertThat(new ReplicaId(name, 17).headId(), is(nullValue()));
      assertThat(new ReplicaId(name, 17).headAddress(), is(nullValue()));
    }
  }

  @Test
  void nameShowsDomainAndModel() {
    FleetBox head =
        new FleetBox("b-m2-7", "llm", "h:1", "z", 4, false, "d-m3", null, List.of(), null);
    ReplicaId replica = ReplicaId.of("d-m3", "m1", 7, head);
    assertThat(replica.isOf("d-m3", "m1"), is(true));
    assertThat(replica.isOf("d-m3", "m2"), is(false));
    assertThat(replica.isOf("d-m3", "m3"), is(false));
    assertThat(replica.isOf("d", "m1"), is(false));
    assertThat(new ReplicaId("d-m1-7", 7).isOf("d", "m1"), is(false));
  }
}
