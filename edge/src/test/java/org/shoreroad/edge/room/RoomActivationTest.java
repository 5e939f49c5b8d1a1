package org.shoreroad.edge.room;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.traffic.UpstreamService;

class RoomActivationTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final UpstreamService LLM =
      new UpstreamService(
          "llm", 10, new EngineSpec(4, 0, 1, 1, 0, 1_000, 100, 1, 1, 1, 100, List.of()));

  private int arrived;
  private long nowNanos;

  private RoomActivation activation(RoomMode mode) {
    return new RoomActivation(mode, () -> List.of(LLM), service -> arrived, () -> nowNanos);
  }

  private void pass(RoomActivation activation, int seconds, int arrivedInSecond) {
    arrived = arrivedInSecond;
    for (int i = 0; i < seconds; i++) {
      nowNanos += SECOND_NANOS;
      activation.sample();
    }
  }

  @Test
  void roomIsSharedWhileDemandIsUneven() {
    RoomActivation activation = activation(RoomMode.WHILE_UNEVEN);
    pass(activation, 10, 200);
    assertThat(activation.isActive(), is(false));
    pass(activation, 4, 90);
    assertThat(activation.isActive(), is(true));
    pass(activation, 60, 90);
    assertThat(activation.isActive(), is(false));
  }

  @Test
  void demandForAServiceThatIsNoLongerDeclaredDoesNotCount() {
    List<UpstreamService> services = new ArrayList<>(List.of(LLM));
    RoomActivation activation =
        new RoomActivation(
            RoomMode.WHILE_UNEVEN, () -> services, service -> arrived, () -> nowNanos);
    pass(activation, 10, 200);
    pass(activation, 4, 90);
    assertThat(activation.isActive(), is(true));
    services.clear();
    pass(activation, 1, 90);
    assertThat(activation.isActive(), is(false));
  }

  @Test
  void theOtherModesDoNotDependOnDemand() {
    RoomActivation never = activation(RoomMode.NEVER);
    pass(never, 5, 200);
    pass(never, 5, 50);
    assertThat(never.isActive(), is(false));
    assertThat(activation(RoomMode.ALWAYS).isActive(), is(true));
  }
}
