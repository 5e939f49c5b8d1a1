package org.shoreroad.daemon.kernel;

import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;
import org.jboss.logging.Logger;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * A single thread that runs the tasks of a bounded queue and a periodic tick.
 *
 * <p>The tick is called after tasks, at most once per millisecond, and after the delay that the
 * last tick returned. So an idle loop costs little and a busy one reacts promptly. State that only
 * tasks and ticks access needs no lock. {@link #tryPost} is thread-safe and never blocks; it
 * rejects the task if the queue is full.
 *
 * @since 0.1
 */
public final class EventLoop {
  private static final Logger LOG = Logger.getLogger("org.shoreroad.daemon.kernel.Duty");
  private static final int QUEUE_CAPACITY = 16_384;
  private static final int MAX_TASKS_PER_TICK = 256;
  private static final long MIN_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long JOIN_MS = 2_000;

  private final MpscBlockingConsumerArrayQueue<Runnable> queue =
      new MpscBlockingConsumerArrayQueue<>(QUEUE_CAPACITY);
  private final LongUnaryOperator tick;
  private final Thread thread;
  private long lastTickNanos = System.nanoTime();
  private volatile boolean isStopping;

  /**
   * Creates an event loop; {@link #start} starts its thread.
   *
   * @param name the thread's name
   * @param tick called with the monotonic time in nanoseconds; returns the delay in milliseconds
   *     until its next call, if no task arrives earlier
   */
  public EventLoop(String name, LongUnaryOperator tick) {
    this.tick = tick;
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Interrupts the thread and waits up to 2 s for it to end. */
  public void stop() {
    isStopping = true;
    thread.interrupt();
    try {
      thread.join(JOIN_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Queues a task for the thread.
   *
   * @param task the task, not null
   * @return false if the queue is full
   */
  public boolean tryPost(Runnable task) {
    return queue.offer(task);
  }

  private void run() {
    long nextTickNanos = System.nanoTime();
    while (!isStopping) {
      try {
        nextTickNanos = runOnce(nextTickNanos);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException e) {
        LOG.errorf(e, "SR-0002 unexpected error in thread %s", Thread.currentThread().getName());
      }
    }
  }

  private long runOnce(long nextTickNanos) throws InterruptedException {
    long waitNanos = nextTickNanos - System.nanoTime();
    Runnable task = waitNanos > 0 ? queue.poll(waitNanos, TimeUnit.NANOSECONDS) : queue.poll();
    boolean hasRunTask = task != null;
    for (int i = 0; task != null && i < MAX_TASKS_PER_TICK; i++) {
      runTask(task);
      task = i + 1 < MAX_TASKS_PER_TICK ? queue.poll() : null;
    }
    long now = System.nanoTime();
    boolean isTickAllowed = now - lastTickNanos >= MIN_TICK_NANOS;
    if (now - nextTickNanos >= 0 || (hasRunTask && isTickAllowed)) {
      lastTickNanos = now;
      return now + TimeUnit.MILLISECONDS.toNanos(tick.applyAsLong(now));
    }
    return hasRunTask ? Math.min(nextTickNanos, lastTickNanos + MIN_TICK_NANOS) : nextTickNanos;
  }

  private static void runTask(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.errorf(e, "SR-0002 unexpected error in thread %s", Thread.currentThread().getName());
    }
  }
}
