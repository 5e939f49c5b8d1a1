package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

class RepeatingTimerTest {
  private static final int SLOW_TASK_MS = 100;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final EventLog log = new EventLog("n", () -> 0, out);

  @Test
  void failedTaskIsLoggedAndRepeated() {
    AtomicInteger runs = new AtomicInteger();
    new RepeatingTimer(channel.eventLoop(), log)
        .every(
            10,
            "counting",
            () -> {
              if (runs.incrementAndGet() == 1) {
                throw new IllegalStateException("once");
              }
            });
    for (int i = 0; i < 3; i++) {
      advanceMs(10);
    }
    log.flush();
    assertThat(runs.get(), is(3));
    assertThat(out.toString(), containsString("\"event\":\"task_failed\",\"task\":\"counting\""));
    assertThat(out.toString(), containsString("once"));
  }

  @Test
  void taskWithAMissingClassIsLoggedAndRepeated() {
    AtomicInteger runs = new AtomicInteger();
    new RepeatingTimer(channel.eventLoop(), log)
        .every(
            10,
            "linking",
            () -> {
              runs.incrementAndGet();
              throw new NoClassDefFoundError("x/Missing");
            });
    advanceMs(10);
    advanceMs(10);
    log.flush();
    assertThat(runs.get(), is(2));
    assertThat(out.toString(), containsString("x/Missing"));
  }

  /** Guards against a task that is never run again after an Error, without a line in the log. */
  @Test
  void taskThatFindsNoMemoryIsLoggedAndRepeated() {
    AtomicInteger runs = new AtomicInteger();
    new RepeatingTimer(channel.eventLoop(), log)
        .every(
            10,
            "large",
            () -> {
              runs.incrementAndGet();
              throw new OutOfMemoryError("a test");
            });
    advanceMs(10);
    advanceMs(10);
    log.flush();
    assertThat(runs.get(), is(2));
    assertThat(out.toString(), containsString("OutOfMemoryError: a test"));
  }

  /** Guards against a blocked event loop whose log does not name the task that ran. */
  @Test
  void slowTaskIsLogged() {
    new RepeatingTimer(channel.eventLoop(), log)
        .once(
            10,
            "sleeping",
            () -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(SLOW_TASK_MS)));
    advanceMs(10);
    log.flush();
    assertThat(out.toString(), containsString("\"event\":\"task_slow\",\"task\":\"sleeping\""));
  }

  @Test
  void intervalMayChangeAndSingleTaskRunsOnce() {
    AtomicInteger pauseMs = new AtomicInteger(10);
    AtomicInteger runs = new AtomicInteger();
    AtomicInteger single = new AtomicInteger();
    RepeatingTimer timer = new RepeatingTimer(channel.eventLoop(), log);
    timer.every(pauseMs::get, "changing", runs::incrementAndGet);
    timer.once(10, "single", single::incrementAndGet);
    advanceMs(10);
    assertThat(runs.get(), is(1));
    pauseMs.set(100);
    advanceMs(10);
    assertThat(runs.get(), is(2));
    advanceMs(50);
    assertThat(runs.get(), is(2));
    advanceMs(50);
    assertThat(runs.get(), is(3));
    assertThat(single.get(), is(1));
  }

  private void advanceMs(int millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }
}
