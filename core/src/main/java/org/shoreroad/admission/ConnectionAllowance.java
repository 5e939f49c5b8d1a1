package org.shoreroad.admission;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether a process accepts a new connection of a caller while a balancer sends most new
 * connections to it.
 *
 * <p>A caller whose connection is closed unread tries another process at once, while one whose
 * request was read waits for this process. Connections are limited only if this process receives
 * several times as many requests as the others, and more than a process can serve beside its other
 * work. Some are accepted always, so that the process is never taken for unreachable.
 *
 * <p>This class reads no clock. Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class ConnectionAllowance {
  /** Requests per second up to which all connections are accepted. */
  static final int MIN_REQUESTS_PER_S = 40;

  /** Connections per second that are accepted at least while the limit is in force. */
  static final int MIN_CONNECTIONS_PER_S = 8;

  /** Ratio to the mean of the other processes above which the limit begins. */
  private static final double BEGIN_RATIO = 3;

  /** Ratio that the limit aims at. */
  private static final double TARGET_RATIO = 2;

  /** Part of the target below which the limit ends; it shall not begin and end in turn. */
  private static final double END_PART = 0.75;

  /** Connections that are accepted at once, as seconds of the permitted rate. */
  private static final double BURST_S = 0.25;

  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Time constant of the mean rate of connections that are turned away. */
  private static final double TURNED_AWAY_MEAN_S = 0.5;

  private boolean isLimited;
  private double turnedAwayPerSecond;
  private long turnedAwayNanos;
  private double connectionsPerSecond;
  private double tokens;
  private long filledNanos;

  /**
   * Updates the limit.
   *
   * @param own the requests that this process received within the last second
   * @param others the requests that all other processes received within the last second
   * @param otherProcesses the number of other processes, 0 if none is known
   */
  public void update(int own, int others, int otherProcesses, long nowNanos) {
    double othersMean = otherProcesses == 0 ? own : (double) others / otherProcesses;
    double target = Math.max(MIN_REQUESTS_PER_S, TARGET_RATIO * othersMean);
    boolean wasLimited = isLimited;
    boolean begins = own > Math.max(MIN_REQUESTS_PER_S, BEGIN_RATIO * othersMean);
    // Those that were turned away would come back at once if the limit ended.
    double demand = own + decayedTurnedAway(nowNanos);
    isLimited = otherProcesses > 0 && (begins || (wasLimited && demand > END_PART * target));
    connectionsPerSecond = Math.max(MIN_CONNECTIONS_PER_S, target - own);
    if (isLimited && !wasLimited) {
      tokens = connectionsPerSecond * BURST_S;
      filledNanos = nowNanos;
    }
  }

  /** Returns true if the number of new connections is limited. */
  public boolean isLimited() {
    return isLimited;
  }

  /** Returns true if a new connection is accepted, and counts it. */
  public boolean take(long nowNanos) {
    if (!isLimited) {
      return true;
    }
    double elapsedS = (nowNanos - filledNanos) / NANOS_PER_SECOND;
    filledNanos = nowNanos;
    double most = Math.max(1, connectionsPerSecond * BURST_S);
    tokens = Math.min(most, tokens + elapsedS * connectionsPerSecond);
    if (tokens < 1) {
      turnedAwayPerSecond = decayedTurnedAway(nowNanos) + 1 / TURNED_AWAY_MEAN_S;
      turnedAwayNanos = nowNanos;
      return false;
    }
    tokens--;
    return true;
  }

  private double decayedTurnedAway(long nowNanos) {
    double elapsedS = (nowNanos - turnedAwayNanos) / NANOS_PER_SECOND;
    return turnedAwayPerSecond * Math.exp(-elapsedS / TURNED_AWAY_MEAN_S);
  }
}
