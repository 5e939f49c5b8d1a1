package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ClockworkTest {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final EventLog log = new EventLog("n", () -> 0, out);

  @Test
  void aTaskThatFailsIsDoneAgainAndTheFailureIsLogged() {
    AtomicInteger runs = new AtomicInteger();
    new Clockwork(channel.eventLoop(), log)
        .every(
            10,
            "counting",
            () -> {
              if (runs.incrementAndGet() == 1) {
                throw new IllegalStateException("once");
              }
            });
    for (int i = 0; i < 3; i++) {
      channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
    log.flush();
    assertThat(runs.get(), is(3));
    assertThat(out.toString(), containsString("\"event\":\"task_failed\",\"task\":\"counting\""));
    assertThat(out.toString(), containsString("once"));
  }
}
