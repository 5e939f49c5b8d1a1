package org.shoreroad.edge.room;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Virtual clock that runs the scheduled tasks as it advances. */
final class FakeTicks implements RoomTicks {
  private final List<Task> tasks = new ArrayList<>();
  private long nowNanos = TimeUnit.HOURS.toNanos(1);

  private record Task(long dueNanos, Runnable task) {}

  @Override
  public void once(int delayMs, Runnable task) {
    tasks.add(new Task(nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMs), task));
  }

  long nowNanos() {
    return nowNanos;
  }

  /** Runs the tasks that are due within the time, in their order. */
  void advance(int millis) {
    long endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    while (true) {
      Task next = tasks.stream().min(Comparator.comparingLong(Task::dueNanos)).orElse(null);
      if (next == null || next.dueNanos() > endNanos) {
        nowNanos = endNanos;
        return;
      }
      tasks.remove(next);
      nowNanos = next.dueNanos();
      next.task().run();
    }
  }
}
