package org.shoreroad.edge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Ages that include the time for which the box was suspended.
 *
 * <p>The steady clock stands still while a box is suspended, so by it a lease or a proof looks as
 * fresh after the wake-up as before. The time of day goes on. Whenever it has gone ahead of the
 * steady clock, the difference is added to the age of all that is older. A time of day that is set
 * ahead looks the same: then what is held expires early and has to be proved again, which takes one
 * call. One that is set back adds nothing and takes nothing off, so it never makes anything
 * younger.
 *
 * <p>Ways weighed: {@code /proc/uptime} counts the suspended time, but costs a read of a file for
 * each age and shows another machine's time where a box is virtual; a foreign call to the boot-time
 * clock needs a native library at each start. Reading two clocks costs neither.
 *
 * <p>For what must expire; pacing and the detection of silence go by the steady clock, so that the
 * absence of this box is not taken for the silence of others. Used on the event loop.
 *
 * @since 0.2
 */
public final class ElapsedClock {
  /**
   * Smallest lead of the time of day that counts. A box that is given no processor time between the
   * two readings shows up to 100 ms. The margins of leases (300 ms) and of keys (500 ms) are
   * larger.
   */
  private static final long MIN_LEAD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Nothing is held that long without a new proof. */
  private static final long KEEP_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final LongSupplier steadyNanos;
  private final LongSupplier timeOfDayMs;
  private final Deque<Lead> leads = new ArrayDeque<>();
  private long offsetNanos;
  private long addedNanos;

  /** A stretch of time that the steady clock did not count, and when that was noticed. */
  private record Lead(long noticedNanos, long lengthNanos) {}

  /**
   * Creates a clock that has noticed no suspension.
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
   * Returns how much time has passed since a reading of the steady clock, in nanoseconds; at least
   * as much as the steady clock has counted since.
   */
  public long ageNanos(long sinceSteadyNanos) {
    long nowNanos = check();
    long ageNanos = nowNanos - sinceSteadyNanos;
    for (Lead lead : leads) {
      ageNanos += lead.noticedNanos() - sinceSteadyNanos >= 0 ? lead.lengthNanos() : 0;
    }
    return ageNanos;
  }

  /** Returns a reading that never goes back, to be compared with other readings of it alone. */
  public long nowNanos() {
    return check() + addedNanos;
  }

  /**
   * Returns the time by which the time of day has gone ahead of the steady clock since the start,
   * in nanoseconds: it rises with each suspension that is noticed.
   */
  long addedNanos() {
    check();
    return addedNanos;
  }

  /** Compares the clocks; returns the steady one. */
  private long check() {
    long nowNanos = steadyNanos.getAsLong();
    long newOffsetNanos = offset(nowNanos);
    long leadNanos = newOffsetNanos - offsetNanos;
    offsetNanos = newOffsetNanos;
    if (leadNanos >= MIN_LEAD_NANOS) {
      leads.add(new Lead(nowNanos, leadNanos));
      addedNanos += leadNanos;
    }
    while (!leads.isEmpty() && nowNanos - leads.peek().noticedNanos() > KEEP_NANOS) {
      leads.remove();
    }
    return nowNanos;
  }

  private long offset(long nowNanos) {
    return TimeUnit.MILLISECONDS.toNanos(timeOfDayMs.getAsLong()) - nowNanos;
  }
}
