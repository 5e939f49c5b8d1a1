package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;

class StallTimeoutTest {
  private static final ModelShape MODEL = new ModelShape("m", 4, 1, 1, 16, 1.6);
  private static final EngineSpec ENGINE =
      new EngineSpec(18, 969_230, 6, 0.25, 0, 46_000, 2_048, 5, 4, 6, 200, List.of(MODEL));

  private static final long NOW_NANOS = TimeUnit.HOURS.toNanos(1);

  private final UpstreamLoad load = new UpstreamLoad();

  private long timeoutMs() {
    return TimeUnit.NANOSECONDS.toMillis(
        StallTimeout.nanos(new ModelEngine(ENGINE, MODEL), load, NOW_NANOS));
  }

  @Test
  void withAnOwnDecodingRequestTheTimeoutIsAPassAndAQuarterAndASmallSlack() {
    load.addPeerLoad(8, 0, 0);
    load.recordPromptRead(0);
    // Five steps of 8 ms, plus a quarter of that, plus 90 ms.
    assertThat(timeoutMs(), is(140L));
  }

  @Test
  void withoutAnOwnDecodingRequestTheTimeoutCoversTheHeartbeatInterval() {
    load.addPeerLoad(8, 0, 0);
    assertThat(timeoutMs(), is(300L));
  }

  @Test
  void aSlowHeadHasALongerTimeout() {
    load.addPeerLoad(8, 0, 0);
    load.recordPromptRead(0);
    long usualMs = timeoutMs();
    for (int i = 0; i < 30; i++) {
      load.pace().record(TimeUnit.MILLISECONDS.toNanos(120), 40, NOW_NANOS);
    }
    assertThat(timeoutMs(), is(greaterThan(usualMs + 80)));
  }

  @Test
  void waitingPromptsLengthenTheTimeoutUpToTheTokensReadInOnePass() {
    load.recordPromptRead(0);
    long idleMs = timeoutMs();
    load.addPeerLoad(1, 4_600, 0);
    assertThat(timeoutMs(), is(greaterThan(idleMs + 100)));
    load.addPeerLoad(1, 1_000_000, 0);
    assertThat(timeoutMs(), is(lessThan(idleMs + 300)));
  }
}
