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

class SilenceLimitTest {
  private static final ModelShape MODEL = new ModelShape("m", 4, 1, 1, 16, 1.6);
  private static final EngineSpec ENGINE =
      new EngineSpec(18, 969_230, 6, 0.25, 0, 46_000, 2_048, 5, 4, 6, 200, List.of(MODEL));

  private static final long NOW_NANOS = TimeUnit.HOURS.toNanos(1);

  private final UpstreamLoad load = new UpstreamLoad();

  private long limitMs() {
    return TimeUnit.NANOSECONDS.toMillis(
        SilenceLimit.nanos(new ModelEngine(ENGINE, MODEL), load, NOW_NANOS));
  }

  @Test
  void whoHearsEachPassWaitsForOnePassAndAQuarterAndTheSlack() {
    load.addElsewhere(8, 0, 0);
    load.recordPromptRead(0);
    // Five steps of 8 ms, a quarter more, and 90 ms.
    assertThat(limitMs(), is(140L));
  }

  @Test
  void whoHearsOnlyOfOthersWaitsForTheirHeartbeats() {
    load.addElsewhere(8, 0, 0);
    assertThat(limitMs(), is(300L));
  }

  @Test
  void aHeadThatIsKnownToBeSlowIsWaitedForLonger() {
    load.addElsewhere(8, 0, 0);
    load.recordPromptRead(0);
    long usualMs = limitMs();
    for (int i = 0; i < 30; i++) {
      load.pace().record(TimeUnit.MILLISECONDS.toNanos(120), 40, NOW_NANOS);
    }
    assertThat(limitMs(), is(greaterThan(usualMs + 80)));
  }

  @Test
  void promptsThatWaitMakeAPassLongerUpToWhatItReads() {
    load.recordPromptRead(0);
    long idleMs = limitMs();
    load.addElsewhere(1, 4_600, 0);
    assertThat(limitMs(), is(greaterThan(idleMs + 100)));
    load.addElsewhere(1, 1_000_000, 0);
    assertThat(limitMs(), is(lessThan(idleMs + 300)));
  }
}
