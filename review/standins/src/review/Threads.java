package review;

/** Starts daemon threads; an exception ends only its thread. */
final class Threads {
  private Threads() {}

  /** A task that may throw. */
  interface Task {
    void run() throws Exception;
  }

  /** Returns the steady time in milliseconds. */
  static long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  static Thread daemon(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The peer has left, or the case is over.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
