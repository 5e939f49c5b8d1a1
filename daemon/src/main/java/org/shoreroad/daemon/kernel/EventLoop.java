package org.shoreroad.daemon.kernel;

import java.util.concurrent.TimeUnit;
import java.util.function.LongUnaryOperator;
import org.jboss.logging.Logger;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * One thread with one duty, which others reach through a bounded ring.
 *
 * <p>The thread takes tasks from the ring and calls the tick: after tasks, and when the time is
 * over that the last tick asked for. So an idle duty costs next to nothing and a busy one is
 * prompt. All state that only tasks and ticks touch needs no lock. {@link #tryPost} never blocks: a
 * full ring refuses.
 *
 * @since 0.1
 */
public final class EventLoop {
  private static final Logger LOG = Logger.getLogger(EventLoop.class);
  private static final int RING_SIZE = 16_384;
  private static final int BURST = 256;
  private static final long LEAST_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long JOIN_MS = 2_000;

  private final MpscBlockingConsumerArrayQueue<Runnable> ring =
      new MpscBlockingConsumerArrayQueue<>(RING_SIZE);
  private final LongUnaryOperator tick;
  private final Thread thread;
  private long lastTickNanos = System.nanoTime();
  private volatile boolean isStopping;

  /**
   * Creates a duty; {@link #start} starts its thread.
   *
   * @param name the thread's name
   * @param tick called with the monotonic time; returns after how many milliseconds to be called
   *     again, if no task comes before
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

  /** Ends the thread after its current task. */
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
   * Hands a task to the thread.
   *
   * @param task the task, not null
   * @return false if the ring is full
   */
  public boolean tryPost(Runnable task) {
    return ring.offer(task);
  }

  private void run() {
    long nextTick = System.nanoTime();
    while (!isStopping) {
      try {
        nextTick = runOnce(nextTick);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException e) {
        LOG.errorf(e, "SR-0002 defect in duty %s", Thread.currentThread().getName());
      }
    }
  }

  private long runOnce(long nextTick) throws InterruptedException {
    long waitNanos = nextTick - System.nanoTime();
    Runnable task = waitNanos > 0 ? ring.poll(waitNanos, TimeUnit.NANOSECONDS) : ring.poll();
    boolean hasWorked = task != null;
    for (int i = 0; task != null && i < BURST; i++) {
      runTask(task);
      task = i + 1 < BURST ? ring.poll() : null;
    }
    long now = System.nanoTime();
    boolean isSoonEnough = now - lastTickNanos >= LEAST_TICK_NANOS;
    if (now - nextTick >= 0 || (hasWorked && isSoonEnough)) {
      lastTickNanos = now;
      return now + TimeUnit.MILLISECONDS.toNanos(tick.applyAsLong(now));
    }
    return hasWorked ? Math.min(nextTick, lastTickNanos + LEAST_TICK_NANOS) : nextTick;
  }

  private static void runTask(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOG.errorf(e, "SR-0002 defect in duty %s", Thread.currentThread().getName());
    }
  }
}
