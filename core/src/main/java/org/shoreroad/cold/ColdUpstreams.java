package org.shoreroad.cold;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.traffic.ColdStart;

/**
 * Table of the upstreams that are cold, and the share of this process in the rate of each.
 *
 * <p>A cold upstream bears a stated number of requests per second from all processes together. The
 * number is divided among at most as many processes, chosen by rendezvous hashing over the names of
 * all known processes, alive or not: processes that are cut off from each other then still agree.
 * The others skip the upstream. Evidence is what the upstream states, an assumption after a start
 * or the return of an availability zone, and reports of other processes; the one that lasts longest
 * counts, and each ends by itself. This class reads no clock: times are passed in, in nanoseconds
 * of the monotonic clock. Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class ColdUpstreams {
  /** Maximum remaining time that is used: ten minutes, as for the declared time. */
  public static final long MAX_REMAINING_MS = (long) (ColdStart.MAX_SECONDS * 1_000);

  /** Maximum number of upstreams, above the size of any fleet; further ones are ignored. */
  private static final int MAX_UPSTREAMS = 20_000;

  /** Part of the rate that is divided into shares where grants use the rest. */
  private static final double PART_BESIDE_GRANTS = 0.5;

  private final String self;
  private final Map<Incarnation, ColdUpstream> upstreams = new HashMap<>();
  private Set<String> sharers = Set.of();
  private Predicate<Incarnation> isGranted = upstream -> false;

  /**
   * Creates a table without cold upstreams.
   *
   * @param self the name of this process among the sharers, not null
   */
  public ColdUpstreams(String self) {
    this.self = self;
  }

  /**
   * Sets the names of all processes that may send requests, including this one. While the set is
   * empty, this process sends nothing to cold upstreams.
   */
  public void setSharers(Set<String> names, long nowNanos) {
    if (!names.equals(sharers)) {
      sharers = Set.copyOf(names);
      assignShares(nowNanos);
    }
  }

  /**
   * Sets which upstreams are sent requests under grants as well while they are cold, without a
   * share of the sending process. Half of their rate is for these then.
   */
  public void setGranted(Predicate<Incarnation> newGranted, long nowNanos) {
    isGranted = newGranted;
    assignShares(nowNanos);
  }

  private void assignShares(long nowNanos) {
    upstreams.forEach(
        (upstream, cold) -> cold.assignShare(self, sharers, sharedPart(upstream), nowNanos));
  }

  private double sharedPart(Incarnation upstream) {
    return isGranted.test(upstream) ? PART_BESIDE_GRANTS : 1;
  }

  /**
   * Records what an upstream itself states.
   *
   * @param rate the rate that a cold upstream of its service bears, not null
   * @param remainingMs the time for which it stays cold, 0 if it is warm
   * @return true if it has turned cold by this
   */
  public boolean recordStatement(
      Incarnation upstream, ColdStart rate, long remainingMs, long nowNanos) {
    ColdUpstream known = upstreams.get(upstream);
    if (known == null && remainingMs <= 0) {
      return false;
    }
    boolean wasCold = isCold(upstream, nowNanos);
    ColdUpstream cold = findOrAdd(upstream, rate);
    if (cold == null) {
      return false;
    }
    cold.state(nowNanos + toNanos(remainingMs), nowNanos);
    return hasTurnedCold(upstream, cold, wasCold, nowNanos);
  }

  /**
   * Assumes that an upstream is cold for the time that its service declares.
   *
   * @param firmMs the time for which statements of the upstream do not end the assumption, since
   *     they may have been made before its cause, in milliseconds, 0 or more
   * @return true if it has turned cold by this
   */
  public boolean assume(Incarnation upstream, ColdStart rate, long firmMs, long nowNanos) {
    boolean wasCold = isCold(upstream, nowNanos);
    ColdUpstream cold = rate.coldMs() == 0 ? null : findOrAdd(upstream, rate);
    if (cold == null) {
      return false;
    }
    cold.assume(nowNanos + toNanos(rate.coldMs()), nowNanos + toNanos(firmMs));
    return hasTurnedCold(upstream, cold, wasCold, nowNanos);
  }

  /** Applies a report of another process; returns true if the upstream has turned cold by this. */
  public boolean applyReport(
      Incarnation upstream, ColdStart rate, long remainingMs, long nowNanos) {
    boolean wasCold = isCold(upstream, nowNanos);
    ColdUpstream cold = remainingMs <= 0 ? null : findOrAdd(upstream, rate);
    if (cold == null) {
      return false;
    }
    cold.report(nowNanos + toNanos(remainingMs));
    return hasTurnedCold(upstream, cold, wasCold, nowNanos);
  }

  /**
   * Sets the time until which other members are cold in the replica that an upstream heads.
   *
   * @param untilNanos the time, in the past if no other member is cold
   * @return true if the head has turned cold by this
   */
  public boolean coverMembers(Incarnation head, ColdStart rate, long untilNanos, long nowNanos) {
    ColdUpstream known = upstreams.get(head);
    if (known == null && untilNanos <= nowNanos) {
      return false;
    }
    boolean wasCold = isCold(head, nowNanos);
    ColdUpstream cold = findOrAdd(head, rate);
    if (cold == null) {
      return false;
    }
    cold.setMemberUntil(untilNanos, nowNanos);
    return hasTurnedCold(head, cold, wasCold, nowNanos);
  }

  private boolean hasTurnedCold(
      Incarnation upstream, ColdUpstream cold, boolean wasCold, long nowNanos) {
    cold.refresh(self, sharers, sharedPart(upstream), nowNanos);
    return !wasCold && cold.isCold(nowNanos);
  }

  private @Nullable ColdUpstream findOrAdd(Incarnation upstream, ColdStart rate) {
    ColdUpstream known = upstreams.get(upstream);
    if (known == null) {
      return add(upstream, rate);
    }
    known.setRate(rate);
    return known;
  }

  private @Nullable ColdUpstream add(Incarnation upstream, ColdStart rate) {
    if (upstreams.size() >= MAX_UPSTREAMS) {
      return null;
    }
    ColdUpstream added = new ColdUpstream(upstream, rate);
    upstreams.put(upstream, added);
    return added;
  }

  private static long toNanos(long remainingMs) {
    long believedMs = Math.max(0, Math.min(MAX_REMAINING_MS, remainingMs));
    return TimeUnit.MILLISECONDS.toNanos(believedMs);
  }

  /** Removes the upstreams that are no longer limited. */
  public void removeWarm(long nowNanos) {
    upstreams.values().removeIf(cold -> cold.isUnlimited(nowNanos));
  }

  /** Returns the remaining times of the upstreams that state to be cold, in milliseconds. */
  public Map<Incarnation, Integer> statedRemainingMs(long nowNanos) {
    Map<Incarnation, Integer> remaining = new HashMap<>();
    upstreams.forEach(
        (upstream, cold) -> {
          long leftMs = TimeUnit.NANOSECONDS.toMillis(cold.statedUntilNanos() - nowNanos);
          if (leftMs > 0) {
            remaining.put(upstream, (int) Math.min(MAX_REMAINING_MS, leftMs));
          }
        });
    return remaining;
  }

  /** Returns true if no upstream is limited, the usual case, in which callers skip look-ups. */
  public boolean isEmpty() {
    return upstreams.isEmpty();
  }

  /** Returns true if the upstream, or a member of the replica that it heads, is cold. */
  public boolean isCold(Incarnation upstream, long nowNanos) {
    ColdUpstream known = upstreams.get(upstream);
    return known != null && known.isCold(nowNanos);
  }

  /** Returns true if requests to the upstream are limited: it is cold, or has just been. */
  public boolean isLimited(Incarnation upstream, long nowNanos) {
    ColdUpstream known = upstreams.get(upstream);
    return known != null && !known.isUnlimited(nowNanos);
  }

  /**
   * Returns the time until which the upstream itself is cold, without the members that it heads; a
   * time in the far past if there is no evidence.
   */
  public long ownUntilNanos(Incarnation upstream) {
    ColdUpstream known = upstreams.get(upstream);
    return known == null ? Long.MIN_VALUE / 2 : known.ownUntilNanos();
  }

  /** Returns the number of cold upstreams. */
  public int coldCount(long nowNanos) {
    return (int) upstreams.values().stream().filter(cold -> cold.isCold(nowNanos)).count();
  }

  /**
   * Returns the number of requests per second that may be granted at the upstream, in addition to
   * the shares; infinite if it is not limited, 0 in the pause after it has turned cold.
   */
  public double grantsPerSecond(Incarnation upstream, long nowNanos) {
    ColdUpstream known = refreshed(upstream, nowNanos);
    if (known == null) {
      return Double.POSITIVE_INFINITY;
    }
    return known.permitsGranted(nowNanos)
        ? known.perSecond(nowNanos) * (1 - PART_BESIDE_GRANTS)
        : 0;
  }

  /** Returns true if a request under a grant may be sent, without a turn of this process. */
  public boolean permitsGranted(Incarnation upstream, long nowNanos) {
    ColdUpstream known = refreshed(upstream, nowNanos);
    return known == null || known.permitsGranted(nowNanos);
  }

  /** Returns true if a turn of this process for the upstream is available, or none is needed. */
  public boolean hasTurn(Incarnation upstream, long nowNanos) {
    ColdUpstream known = refreshed(upstream, nowNanos);
    return known == null || known.hasTurn(nowNanos);
  }

  /**
   * Takes a turn for one request.
   *
   * @return true if the upstream is not limited, or a turn was available
   */
  public boolean takeTurn(Incarnation upstream, long nowNanos) {
    ColdUpstream known = refreshed(upstream, nowNanos);
    if (known == null) {
      return true;
    }
    if (!known.hasTurn(nowNanos)) {
      return false;
    }
    known.takeTurn(nowNanos);
    return true;
  }

  /**
   * Returns true if a request may be sent at this moment, and counts it as sent. Called right
   * before the first byte, in addition to {@link #takeTurn}.
   */
  public boolean confirmSend(Incarnation upstream, long nowNanos) {
    ColdUpstream known = refreshed(upstream, nowNanos);
    return known == null || known.confirmSend(nowNanos);
  }

  private @Nullable ColdUpstream refreshed(Incarnation upstream, long nowNanos) {
    ColdUpstream known = upstreams.get(upstream);
    if (known != null) {
      known.refresh(self, sharers, sharedPart(upstream), nowNanos);
    }
    return known;
  }
}
