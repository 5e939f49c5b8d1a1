package org.shoreroad.edge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Clock that includes the time for which the box was suspended.
 *
 * <p>The steady clock stops while a box is suspended, so a lease or a proof would appear as fresh
 * after the suspension as before. The time of day continues. Whenever it has advanced further than
 * the steady clock, the difference is added to the age of all earlier readings. Setting the time of
 * day forward has the same effect: leases and proofs expire early and are renewed with one call.
 * Setting it back changes no age, so nothing becomes younger.
 *
 * <p>Alternatives: {@code /proc/uptime} includes the suspended time, but needs a file read for each
 * age and shows the time of another machine if the box is virtual. A native call to the boot-time
 * clock needs a native library at each start. Reading two clocks avoids both.
 *
 * <p>Used for expiry only. Pacing and failure detection use the steady clock, so that a suspension
 * of this box is not mistaken for silence of the others. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class ElapsedClock {
  /**
   * Minimum lead of the time of day that is counted as a suspension. A process that gets no
   * processor time between the two readings shows a lead of up to 100 ms. The margins of leases
   * (300 ms) and keys (500 ms) are larger.
   */
  private static final long MIN_LEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Time for which a suspension is recorded; every lease and proof is renewed more often. */
  private static final long KEEP_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final LongSupplier steadyNanos;
  private final LongSupplier timeOfDayMs;
  private final Deque<Lead> leads = new ArrayDeque<>();
  private long offsetNanos;
  private long totalLeadNanos;

  /** Time that the steady clock did not count, with the reading at which this was detected. */
  private record Lead(long detectedNanos, long lengthNanos) {}

  /**
   * Creates a clock that has detected no suspension.
   *
   * @param steadyNanos the steady clock, in nanoseconds, not null
   * @param timeOfDayMs the time of day, in milliseconds since 1970, not null
   */
  public ElapsedClock(LongSupplier steadyNanos, LongSupplier timeOfDayMs) {
    this.steadyNanos = steadyNanos;
    this.timeOfDayMs = timeOfDayMs;
    this.offsetNanos = offset(steadyNanos.getAsLong());
  }

  /**
   * Returns the time elapsed since a reading of the steady clock, in nanoseconds; at least the time
   * that the steady clock has counted.
   */
  public long ageNanos(long sinceSteadyNanos) {
    long nowNanos = readClocks();
    long ageNanos = nowNanos - sinceSteadyNanos;
    for (Lead lead : leads) {
      ageNanos += lead.detectedNanos() - sinceSteadyNanos >= 0 ? lead.lengthNanos() : 0;
    }
    return ageNanos;
  }

  /**
   * Returns a reading in nanoseconds that never decreases. It is comparable only with other
   * readings of this method.
   */
  public long nowNanos() {
    return readClocks() + totalLeadNanos;
  }

  /**
   * Returns the total lead of the time of day over the steady clock since the start, in
   * nanoseconds. It increases with each detected suspension.
   */
  long totalLeadNanos() {
    readClocks();
    return totalLeadNanos;
  }

  /** Compares the clocks and returns the reading of the steady clock. */
  private long readClocks() {
    long nowNanos = steadyNanos.getAsLong();
    long newOffsetNanos = offset(nowNanos);
    long newLeadNanos = newOffsetNanos - offsetNanos;
    offsetNanos = newOffsetNanos;
    if (newLeadNanos >= MIN_LEAD_NANOS) {
      leads.add(new Lead(nowNanos, newLeadNanos));
      totalLeadNanos += newLeadNanos;
    }
    while (!leads.isEmpty() && nowNanos - leads.peek().detectedNanos() > KEEP_NANOS) {
      leads.remove();
    }
    return nowNanos;
  }

  private long offset(long nowNanos) {
    return TimeUnit.MILLISECONDS.toNanos(timeOfDayMs.getAsLong()) - nowNanos;
  }
}
