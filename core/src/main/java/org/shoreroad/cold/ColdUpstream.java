package org.shoreroad.cold;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.limit.FleetShare;
import org.shoreroad.routing.Rendezvous;
import org.shoreroad.traffic.ColdStart;

/**
 * Evidence about one upstream that is cold, and the share of this process in the rate that it
 * bears.
 *
 * <p>The time until which the upstream is cold is the latest that any evidence names. The rate then
 * doubles each second a few times before it is unlimited, so that an upstream that has just become
 * warm is not sent everything that waits for room. Not thread-safe: confined to one thread.
 */
final class ColdUpstream {
  /** Phase in which the upstream is cold. */
  private static final int COLD = 0;

  /** Number of phases with a doubled rate after the upstream is warm. */
  private static final int RAMP_STEPS = 3;

  private static final int UNLIMITED = RAMP_STEPS + 1;
  private static final long RAMP_STEP_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The time in which a rate per second is counted. */
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Interval from one turn to the next, more than the counted time by the latency of a request. */
  private static final long PACE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_050);

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Incarnation upstream;
  private final FleetShare share = FleetShare.strict();
  private ColdStart rate;
  private long statedUntilNanos = NEVER;
  private long assumedUntilNanos = NEVER;
  private long assumptionFirmUntilNanos = NEVER;
  private long reportedUntilNanos = NEVER;
  private long memberUntilNanos = NEVER;
  private int assignedPhase = UNLIMITED;
  private long intervalNanos = PACE_NANOS;
  private long pausedUntilNanos = NEVER;
  private long grantsPausedUntilNanos = NEVER;
  private long lastSentNanos = NEVER;

  ColdUpstream(Incarnation upstream, ColdStart rate) {
    this.upstream = upstream;
    this.rate = rate;
  }

  void setRate(ColdStart newRate) {
    rate = newRate;
  }

  /** Sets what the upstream itself states, which ends an assumption that is no longer firm. */
  void state(long untilNanos, long nowNanos) {
    statedUntilNanos = untilNanos;
    if (nowNanos >= assumptionFirmUntilNanos) {
      assumedUntilNanos = NEVER;
    }
  }

  /** Assumes coldness; statements before the second time do not contradict it. */
  void assume(long untilNanos, long firmUntilNanos) {
    assumedUntilNanos = Math.max(assumedUntilNanos, untilNanos);
    assumptionFirmUntilNanos = firmUntilNanos;
  }

  void report(long untilNanos) {
    reportedUntilNanos = Math.max(reportedUntilNanos, untilNanos);
  }

  /**
   * Sets the time until which another member of the replica is cold that this upstream heads. If
   * none is cold any more, the increase of the rate begins now.
   */
  void setMemberUntil(long untilNanos, long nowNanos) {
    if (untilNanos > nowNanos) {
      memberUntilNanos = untilNanos;
    } else {
      memberUntilNanos = Math.min(memberUntilNanos, nowNanos);
    }
  }

  /** Returns the time until which the upstream states to be cold. */
  long statedUntilNanos() {
    return statedUntilNanos;
  }

  /** Returns the time until which the upstream itself is cold, without the members it heads. */
  long ownUntilNanos() {
    return Math.max(statedUntilNanos, Math.max(assumedUntilNanos, reportedUntilNanos));
  }

  boolean isCold(long nowNanos) {
    return phase(nowNanos) == COLD;
  }

  /** Returns true if there is no limit any more. */
  boolean isUnlimited(long nowNanos) {
    return phase(nowNanos) == UNLIMITED;
  }

  private int phase(long nowNanos) {
    long untilNanos = Math.max(ownUntilNanos(), memberUntilNanos);
    if (nowNanos < untilNanos) {
      return COLD;
    }
    return (int) Math.min(UNLIMITED, 1 + (nowNanos - untilNanos) / RAMP_STEP_NANOS);
  }

  /** Returns the requests per second that the upstream bears now from all processes together. */
  double perSecond(long nowNanos) {
    int phase = phase(nowNanos);
    return phase == UNLIMITED ? Double.POSITIVE_INFINITY : rateIn(phase);
  }

  private double rateIn(int phase) {
    return rate.requestsPerSecond() * (1 << phase);
  }

  /** Recomputes the share if the phase has changed since it was last computed. */
  void refresh(String self, Set<String> sharers, double part, long nowNanos) {
    if (phase(nowNanos) != assignedPhase) {
      assignShare(self, sharers, part, nowNanos);
    }
  }

  /**
   * Recomputes the share of this process.
   *
   * <p>No second holds more turns than the rate: there are at most as many holders, and each has a
   * whole number of turns in it, the first ones by the hashing one more than the others. A new
   * share begins with a pause of a second, because another process, or this one before it knew of
   * the coldness, may have sent requests just now.
   *
   * @param part the part of the rate that is divided into shares
   */
  void assignShare(String self, Set<String> sharers, double part, long nowNanos) {
    int phase = phase(nowNanos);
    boolean begins = phase == COLD && assignedPhase != COLD;
    assignedPhase = phase;
    if (phase == UNLIMITED) {
      return;
    }
    double perSecond = rateIn(phase) * part;
    int holders = (int) Math.max(1, Math.min(sharers.size(), Math.floor(perSecond)));
    double turns = perSecond < 1 ? perSecond : turns(self, sharers, holders, (long) perSecond);
    intervalNanos = Math.max(1, (long) (PACE_NANOS / turns));
    if (begins) {
      grantsPausedUntilNanos = nowNanos + SECOND_NANOS;
    }
    boolean wasHolder = share.isHolder();
    share.assign(self, upstream.id(), sharers, holders, intervalNanos, nowNanos);
    if (begins || (share.isHolder() && !wasHolder && phase == COLD)) {
      pausedUntilNanos = nowNanos + SECOND_NANOS;
      // Holders that learn of the coldness together do not send their first requests together.
      long offsetNanos = Math.floorMod(Rendezvous.score(upstream.id(), self), intervalNanos);
      share.delayUntil(pausedUntilNanos + offsetNanos);
    }
  }

  private long turns(String self, Set<String> sharers, int holders, long wholeTurns) {
    boolean hasOneMore = Rendezvous.positionOf(self, upstream.id(), sharers) < wholeTurns % holders;
    return wholeTurns / holders + (hasOneMore ? 1 : 0);
  }

  /**
   * Returns true if requests under grants may be sent. They pause for a second too when the
   * upstream turns cold, since the process that granted them may not know of it yet.
   */
  boolean permitsGranted(long nowNanos) {
    return !isCold(nowNanos) || nowNanos >= grantsPausedUntilNanos;
  }

  boolean hasTurn(long nowNanos) {
    return isUnlimited(nowNanos) || share.hasTurn(nowNanos);
  }

  void takeTurn(long nowNanos) {
    if (!isUnlimited(nowNanos)) {
      share.takeTurn(nowNanos);
    }
  }

  /**
   * Returns true if a request may be sent at this moment, and counts it as sent. Turns are taken
   * when an upstream is chosen, and the times until a connection is open differ, so that requests
   * with turns an interval apart might be sent together.
   */
  boolean confirmSend(long nowNanos) {
    if (isUnlimited(nowNanos)) {
      return true;
    }
    boolean isDue = nowNanos >= pausedUntilNanos && nowNanos - lastSentNanos >= intervalNanos;
    if (!share.isHolder() || !isDue) {
      return false;
    }
    lastSentNanos = nowNanos;
    return true;
  }
}
