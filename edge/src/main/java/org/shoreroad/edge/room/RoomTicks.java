package org.shoreroad.edge.room;

/**
 * Schedules tasks on the event loop.
 *
 * @since 0.2
 */
interface RoomTicks {
  /** Runs the task once after a delay in milliseconds. */
  void once(int delayMs, Runnable task);
}
