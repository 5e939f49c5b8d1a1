package org.shoreroad.edge;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Does things again and again on the event loop, also after one of them failed.
 *
 * <p>The loop itself drops a repeated task at its first exception without a word. Thread-safe.
 *
 * @since 0.2
 */
public final class Clockwork {
  private final EventLoop loop;
  private final EventLog log;

  /** Creates a clockwork. */
  public Clockwork(EventLoop loop, EventLog log) {
    this.loop = loop;
    this.log = log;
  }

  /**
   * Does a task again and again; a failure is logged and the task done again next time.
   *
   * @param intervalMs the pause after each time, in milliseconds
   * @param name names the task in the log, not null
   * @param task the task, not null
   */
  public void every(int intervalMs, String name, Runnable task) {
    every(() -> intervalMs, name, task);
  }

  /**
   * Does a task again and again, as {@link #every(int, String, Runnable)}, with pauses that change.
   *
   * @param intervalMs tells the next pause, in milliseconds
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

  /** Does a task once, after a time; a failure is logged. */
  public void once(long delayMs, String name, Runnable task) {
    loop.schedule(() -> run(name, task), delayMs, TimeUnit.MILLISECONDS);
  }

  private void run(String name, Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      String place = e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0].toString();
      log.write("task_failed", "task", name, "why", String.valueOf(e), "place", place);
    }
  }
}
