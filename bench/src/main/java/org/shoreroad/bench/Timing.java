package org.shoreroad.bench;

import java.util.Arrays;

/** Times a task: the median of some rounds after a warm-up. */
final class Timing {
  private static volatile Object sink = "";

  private Timing() {}

  /** A task whose result is kept, so that it is not optimised away. */
  @FunctionalInterface
  interface Task {
    Object run();
  }

  /** Returns the median time of one run in nanoseconds. */
  static double medianNanos(int rounds, Task task) {
    for (int i = 0; i < rounds; i++) {
      sink = task.run();
    }
    long[] nanos = new long[rounds];
    for (int i = 0; i < rounds; i++) {
      long begun = System.nanoTime();
      sink = task.run();
      nanos[i] = System.nanoTime() - begun;
    }
    Arrays.sort(nanos);
    return nanos[rounds / 2];
  }

  /** Returns the last result, for a reader that wants to see that it is used. */
  static Object lastResult() {
    return sink;
  }
}
