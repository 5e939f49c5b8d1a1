package org.shoreroad.bench;

import java.util.Arrays;

/** Measures the median run time of a task after a warm-up of as many rounds. */
final class Timing {
  private static volatile Object sink = "";

  private Timing() {}

  /** A task whose result is stored, so that the compiler cannot remove the work as dead code. */
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

  /** Returns the last result, so that the stored result also has a reader. */
  static Object lastResult() {
    return sink;
  }
}
