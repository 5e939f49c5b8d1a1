package org.shoreroad.edge.caller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Rule that ends connections of callers that do not read, and bounds the bytes that are held for
 * all callers.
 *
 * <p>An answer may hold a part of the memory that is free. With more large answers each may hold
 * less, while some memory always stays free for small ones.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param maxBytes the maximum number of bytes held for all callers
 * @param maxUnreadMs the time after which a caller that reads nothing is ended, in milliseconds
 * @since 0.2
 */
public record HeldBytesRule(long maxBytes, int maxUnreadMs) {
  /** Minimum of the bound, for some answers of usual size. */
  public static final long MIN_BYTES = 1_048_576;

  /**
   * Time after which a caller that reads nothing is ended. TCP sends a lost segment again after
   * about 0.2, 0.6, 1.4 and 3 s, so a caller behind a lossy link has lost four in a row by then,
   * while an upstream cuts an unread answer after some seconds.
   */
  public static final int MAX_UNREAD_MS = 3_000;

  /** Part of the memory for callers; the rest is for upstreams, peers, the store and the code. */
  private static final int MEMORY_DIVISOR = 4;

  /**
   * Part of the bound for requests. If they filled all of it, callers would be ended for any answer
   * that waits, however fast they read.
   */
  private static final double REQUEST_PART = 0.75;

  /** Part of the bound from which answers are paused. */
  private static final double PAUSE_PART = 0.75;

  /**
   * Part of the bound from which no request is accepted. The bytes between the two parts are for
   * small answers and for pieces that arrive before a pause takes effect, those above for the
   * answers of requests that were accepted before.
   */
  private static final double ACCEPT_PART = 0.9;

  /** Part of the free memory that one answer may hold. */
  private static final double ANSWER_PART = 0.5;

  /** Part of the bound to which connections are ended, so that not each new byte ends one. */
  private static final double TARGET_PART = 0.9;

  /**
   * Time after which a caller that has read nothing is ended before those that read; above the
   * round trips of callers, who read in between.
   */
  private static final long SLOW_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Checks the ranges. */
  public HeldBytesRule {
    if (maxBytes < MIN_BYTES) {
      throw new IllegalArgumentException("maxBytes must be at least " + MIN_BYTES);
    }
    if (maxUnreadMs <= 0) {
      throw new IllegalArgumentException("maxUnreadMs must be above 0");
    }
  }

  /** Returns the rule for a process that may use this memory for buffers, in bytes. */
  public static HeldBytesRule forMemory(long memoryBytes) {
    return new HeldBytesRule(Math.max(MIN_BYTES, memoryBytes / MEMORY_DIVISOR), MAX_UNREAD_MS);
  }

  /** Reason for which a connection is ended. */
  public enum Reason {
    /** The caller has read nothing for too long. */
    UNREAD("unread"),
    /** The bytes for all callers exceed their bound, and this one holds most. */
    MEMORY("memory");

    private final String code;

    Reason(String code) {
      this.code = code;
    }

    /** Returns the text form for logs and counters. */
    public String code() {
      return code;
    }
  }

  /**
   * What is held for the caller on one connection.
   *
   * @param connection the connection
   * @param answerBytes the bytes of answers that the caller has not been sent
   * @param requestBytes the bytes of requests that have not been answered
   * @param unreadNanos the time for which nothing was read although bytes wait, in nanoseconds
   */
  record Holder<C>(C connection, long answerBytes, long requestBytes, long unreadNanos) {
    private boolean isSlow() {
      return unreadNanos >= SLOW_NANOS;
    }
  }

  /** Connection that is to be ended, and why. */
  record Ending<C>(Holder<C> holder, Reason reason) {}

  /** Returns the maximum number of bytes of requests. */
  long maxRequestBytes() {
    return (long) (maxBytes * REQUEST_PART);
  }

  /** Returns the number of bytes above which no request is accepted, with its answer included. */
  public long maxAcceptedBytes() {
    return (long) (maxBytes * ACCEPT_PART);
  }

  /**
   * Returns the number of bytes that one answer may hold.
   *
   * @param totalBytes the bytes that are held in total, those of the answer included
   */
  long maxAnswerBytes(long totalBytes) {
    return (long) (ANSWER_PART * Math.max(0, maxBytes * PAUSE_PART - totalBytes));
  }

  /** Returns the bytes held on these connections. */
  static <C> long totalBytes(List<Holder<C>> holders) {
    return holders.stream().mapToLong(h -> h.answerBytes() + h.requestBytes()).sum();
  }

  /**
   * Chooses the connections to end: those that have read nothing for too long, and if the total
   * exceeds its bound, those with the most answer bytes, callers that read nothing first. Requests
   * do not end a connection, as new ones are refused while there is no room.
   *
   * @param otherBytes the bytes that are held apart from these connections
   */
  <C> List<Ending<C>> choose(List<Holder<C>> holders, long otherBytes) {
    List<Ending<C>> endings = new ArrayList<>();
    List<Holder<C>> others = new ArrayList<>();
    for (Holder<C> holder : holders) {
      if (holder.unreadNanos() >= TimeUnit.MILLISECONDS.toNanos(maxUnreadMs)) {
        endings.add(new Ending<>(holder, Reason.UNREAD));
      } else {
        others.add(holder);
      }
    }
    long leftBytes = totalBytes(others) + otherBytes;
    if (leftBytes <= maxBytes) {
      return endings;
    }
    Comparator<Holder<C>> slowFirst = Comparator.comparing(holder -> !holder.isSlow());
    Comparator<Holder<C>> largestFirst = Comparator.comparingLong(h -> -h.answerBytes());
    others.sort(slowFirst.thenComparing(largestFirst));
    for (Holder<C> holder : others) {
      if (leftBytes > maxBytes * TARGET_PART && holder.answerBytes() > 0) {
        endings.add(new Ending<>(holder, Reason.MEMORY));
        leftBytes -= holder.answerBytes() + holder.requestBytes();
      }
    }
    return endings;
  }
}
