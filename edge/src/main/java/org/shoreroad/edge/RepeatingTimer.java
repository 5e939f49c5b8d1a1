package org.shoreroad.edge;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Runs tasks periodically on the event loop, also after one of them has failed.
 *
 * <p>The event loop itself cancels a periodic task at its first exception and logs nothing.
 * Thread-safe.
 *
 * @since 0.2
 */
public final class RepeatingTimer {
  /**
   * Duration from which a task is logged, in milliseconds. All other work of the process waits
   * meanwhile.
   */
  private static final long MIN_SLOW_MS = 40;

  private final EventLoop loop;
  private final EventLog log;

  /** Creates a timer. */
  public RepeatingTimer(EventLoop loop, EventLog log) {
    this.loop = loop;
    this.log = log;
  }

  /**
   * Runs a task periodically; a failure is logged and does not end the repetition.
   *
   * @param intervalMs the pause after each run, in milliseconds
   * @param name the name of the task in the log, not null
   * @param task the task, not null
   */
  public void every(int intervalMs, String name, Runnable task) {
    every(() -> intervalMs, name, task);
  }

  /**
   * Runs a task periodically, as {@link #every(int, String, Runnable)}, with a variable interval.
   *
   * @param intervalMs returns the next pause, in milliseconds
   */
  public void every(IntSupplier intervalMs, String name, Runnable task) {
    loop.schedule(
        () -> {
          run(name, task);
          every(intervalMs, name, task);
        },
        intervalMs.getAsInt(),
        TimeUnit.MILLISECONDS);
  }

  /** Runs a task once, after a delay; a failure is logged. */
  public void once(long delayMs, String name, Runnable task) {
    loop.schedule(() -> run(name, task), delayMs, TimeUnit.MILLISECONDS);
  }

  private void run(String name, Runnable task) {
    long startNanos = System.nanoTime();
    try {
      task.run();
    } catch (Throwable e) {
      // An Error must not end the repetition without a log line either.
      String location = e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0].toString();
      log.write("task_failed", "task", name, "why", String.valueOf(e), "place", location);
    }
    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    if (tookMs >= MIN_SLOW_MS) {
      log.write("task_slow", "task", name, "tookMs", tookMs);
    }
  }
}
