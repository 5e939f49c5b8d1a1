package org.shoreroad.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Times at which refused callers return to the replicas of one model.
 *
 * <p>A refused caller waits for the stated delay, up to a third of its remaining time, and returns
 * once. It is invited for the earliest time at which a slot is likely to be left for it: after the
 * requests that wait, and after the callers invited before. Invitations are spread, so that they
 * take no more than a share of the freed slots. A caller without such a time within its third is
 * given the expected time, so that it does not return without a chance.
 *
 * <p>Own invitations are limited by the schedule, and those of other owners of the model serve only
 * to recognize their callers. Reads no clock. Not thread-safe.
 *
 * @since 0.2
 */
public final class ReturnPlan implements Returns {
  /** Maximum delay that is stated to a caller, in milliseconds. */
  public static final int MAX_DELAY_MS = 60_000;

  /** Maximum number of tickets in a message, and of those that are accepted from one. */
  public static final int MAX_TICKETS = 256;

  /** Time after its due time in which a caller is still expected, in milliseconds. */
  static final int EXPIRY_MS = 3_000;

  /** Maximum number of own invitations, and of those of other owners. */
  static final int MAX_INVITATIONS = 4_096;

  private static final int MAX_EQUAL_CONTENTS = 16;

  /**
   * Time for which a refused caller of another owner is remembered: it returns within its third.
   */
  private static final int FOREIGN_REFUSED_MS = 10_000;

  private static final int MAX_REMAINING_MS = 86_400_000;
  private static final int MAX_WAITING = 1_000_000;
  private static final int MAX_RETURNED = 1_024;
  private static final double ALLOWED_PART = 1 / 3.0;

  /**
   * Part of the allowed time that is used, since part of it passes before the caller has the
   * answer.
   */
  private static final double USED_PART = 0.95;

  /** Excess over the allowed time that shows a caller that it should not return. */
  private static final double EXCESS_PART = 0.1;

  /** Rounding of the delay; a caller that comes earlier has ignored it. */
  private static final long OWN_EARLY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Also the time that a ticket takes to the other owner. */
  private static final long FOREIGN_EARLY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final double NANOS_PER_MS = 1e6;
  private static final double MS_PER_SECOND = 1e3;

  private final RandomGenerator random;
  private final double passMs;
  private final FreedRate freedRate = new FreedRate();
  private final ReturnShare returnShare = new ReturnShare();
  private final InvitationTable own =
      new InvitationTable(MAX_INVITATIONS, MAX_EQUAL_CONTENTS, OWN_EARLY_NANOS);
  private final InvitationTable foreign =
      new InvitationTable(MAX_INVITATIONS, MAX_EQUAL_CONTENTS, FOREIGN_EARLY_NANOS);
  private final Map<Long, Long> returned =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
          return size() > MAX_RETURNED;
        }
      };
  private final RefusedCallers refused = new RefusedCallers(MAX_INVITATIONS);
  private final RefusedCallers foreignRefused = new RefusedCallers(MAX_INVITATIONS);
  private final ArrayDeque<Long> pendingDueNanos = new ArrayDeque<>();
  private final ArrayDeque<Long> unreported = new ArrayDeque<>();
  private final ArrayDeque<Long> reportedOnce = new ArrayDeque<>();
  private long nextSlotNanos = Long.MIN_VALUE;
  private long latestNanos;

  /**
   * Creates a plan without invitations.
   *
   * @param random the source of the jitter, not null
   * @param passMs the time of a pass of a busy engine, in milliseconds, above 0
   */
  public ReturnPlan(RandomGenerator random, double passMs) {
    if (!(passMs > 0)) {
      throw new IllegalArgumentException("passMs must be above 0: " + passMs);
    }
    this.random = random;
    this.passMs = Math.min(passMs, MAX_DELAY_MS);
  }

  /** Records that a slot became free. */
  @Override
  public void recordFreed(long nowNanos) {
    latestNanos = nowNanos;
    freedRate.recordFreed(nowNanos);
  }

  /**
   * Returns true if a caller with this content was invited to return and has not returned yet. A
   * caller that comes before its time isn't expected.
   */
  @Override
  public boolean isExpected(long contentHash, long nowNanos) {
    latestNanos = nowNanos;
    return own.isDue(contentHash, nowNanos) || foreign.isDue(contentHash, nowNanos);
  }

  @Override
  public int takeCallerAgeMs(long contentHash, long nowNanos) {
    int ageMs =
        Math.max(
            ageMs(refused, contentHash, nowNanos), ageMs(foreignRefused, contentHash, nowNanos));
    refused.remove(contentHash);
    foreignRefused.remove(contentHash);
    return ageMs;
  }

  private static int ageMs(RefusedCallers callers, long contentHash, long nowNanos) {
    Long firstNanos = callers.findFirstNanos(contentHash, nowNanos);
    return firstNanos == null ? 0 : toAgeMs(firstNanos, nowNanos);
  }

  private static int toAgeMs(long firstNanos, long nowNanos) {
    long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - firstNanos);
    return (int) Math.max(0, Math.min(MAX_REMAINING_MS, ageMs));
  }

  @Override
  public void recordRefused(long contentHash, int ageMs, int remainingMs, long nowNanos) {
    long firstNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, ageMs));
    int leftMs = Math.max(0, Math.min(MAX_REMAINING_MS, remainingMs));
    refused.add(contentHash, firstNanos, leftMs, nowNanos);
  }

  /** Removes the invitation of a caller that has returned. */
  @Override
  public void recordReturned(long contentHash) {
    boolean wasOwn = own.remove(contentHash);
    boolean wasForeign = foreign.remove(contentHash);
    if (wasOwn || wasForeign) {
      returnShare.recordReturned();
      returned.remove(contentHash);
      returned.put(contentHash, latestNanos);
    }
  }

  /**
   * Plans the return of a refused caller.
   *
   * <p>A delay of at most a third of the remaining time is an invitation: the caller is expected. A
   * longer one is the time at which room is expected, and the caller isn't expected.
   *
   * @param contentHash the hash of the request's content
   * @param waitingAhead the number of requests that wait for room and go first; values below 0
   *     count as 0
   * @param remainingMs the time until the caller's deadline, in milliseconds; values below 0 count
   *     as 0
   * @param nowNanos the time on the steady clock
   * @return the time after which the caller should return, in milliseconds, from 1 to {@link
   *     #MAX_DELAY_MS}
   */
  @Override
  public int invite(long contentHash, int waitingAhead, int remainingMs, long nowNanos) {
    latestNanos = nowNanos;
    recordRefusal(contentHash, nowNanos);
    addBounded(unreported, contentHash);
    int ahead = Math.max(0, Math.min(MAX_WAITING, waitingAhead));
    double leftMs = Math.max(0, Math.min(MAX_REMAINING_MS, remainingMs));
    double allowedMs = Math.min(MAX_DELAY_MS, leftMs * ALLOWED_PART * USED_PART);
    double perSecond = freedRate.perSecond(nowNanos);
    double spacingMs = MS_PER_SECOND / (perSecond * returnShare.share(perSecond, nowNanos));
    double slotMs = findSlotMs(ahead, perSecond, spacingMs, nowNanos);
    if (slotMs > allowedMs || !own.hasRoom(contentHash, nowNanos)) {
      return toRefusalDelayMs(slotMs, leftMs);
    }
    double jitterMs = random.nextDouble() * Math.min(spacingMs, passMs);
    int delayMs = (int) Math.max(1, Math.min(allowedMs, slotMs + jitterMs));
    nextSlotNanos = nowNanos + (long) ((slotMs + spacingMs) * NANOS_PER_MS);
    add(contentHash, delayMs, (long) leftMs, nowNanos);
    return delayMs;
  }

  private void recordRefusal(long contentHash, long nowNanos) {
    freedRate.recordRefusal(nowNanos);
    Long returnedNanos = returned.remove(contentHash);
    boolean hasReturned =
        returnedNanos != null
            && nowNanos - returnedNanos < TimeUnit.MILLISECONDS.toNanos(EXPIRY_MS);
    if (isExpected(contentHash, nowNanos)) {
      own.remove(contentHash);
      foreign.remove(contentHash);
      hasReturned = true;
    }
    if (hasReturned) {
      returnShare.recordRefusedAgain();
    } else {
      returnShare.recordRefusal(nowNanos);
    }
  }

  /** Returns the time until the earliest slot that is likely to be left, in milliseconds. */
  private double findSlotMs(int ahead, double perSecond, double spacingMs, long nowNanos) {
    while (!pendingDueNanos.isEmpty() && pendingDueNanos.peekFirst() <= nowNanos) {
      pendingDueNanos.removeFirst();
    }
    int pending = pendingDueNanos.size();
    double earliestMs = Math.max(passMs, (ahead + pending + 1) / perSecond * MS_PER_SECOND);
    if (pending == 0) {
      return earliestMs;
    }
    // The last slot may have been set at a lower rate than the present one.
    double plannedMs = (nextSlotNanos - nowNanos) / NANOS_PER_MS;
    double atPresentRateMs = earliestMs + (pending + 1) * spacingMs;
    return Math.max(earliestMs, Math.min(plannedMs, atPresentRateMs));
  }

  private static int toRefusalDelayMs(double slotMs, double leftMs) {
    double beyondAllowedMs = leftMs * ALLOWED_PART * (1 + EXCESS_PART) + 1;
    return (int) Math.ceil(Math.min(MAX_DELAY_MS, Math.max(slotMs, beyondAllowedMs)));
  }

  private void add(long contentHash, int delayMs, long leftMs, long nowNanos) {
    long dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(delayMs);
    long validMs = Math.min((long) delayMs + EXPIRY_MS, leftMs);
    own.add(contentHash, dueNanos, nowNanos + TimeUnit.MILLISECONDS.toNanos(validMs), nowNanos);
    pendingDueNanos.addLast(dueNanos);
  }

  private static void addBounded(ArrayDeque<Long> hashes, long contentHash) {
    if (hashes.size() >= MAX_INVITATIONS) {
      hashes.removeFirst();
    }
    hashes.addLast(contentHash);
  }

  /**
   * Returns the refused callers that other owners of the model lack, at most {@link #MAX_TICKETS},
   * and marks them as reported. Each is returned twice, in different lists, since a message may be
   * lost.
   */
  public List<Ticket> takeNewTickets(long nowNanos) {
    latestNanos = nowNanos;
    List<Ticket> tickets = new ArrayList<>();
    int repeatable = reportedOnce.size();
    while (tickets.size() < MAX_TICKETS && !unreported.isEmpty()) {
      long contentHash = unreported.removeFirst();
      if (addTicket(contentHash, tickets, nowNanos)) {
        addBounded(reportedOnce, contentHash);
      }
    }
    repeatable = Math.min(repeatable, reportedOnce.size());
    for (int i = 0; i < repeatable && tickets.size() < MAX_TICKETS; i++) {
      addTicket(reportedOnce.removeFirst(), tickets, nowNanos);
    }
    return tickets;
  }

  private boolean addTicket(long contentHash, List<Ticket> tickets, long nowNanos) {
    Long dueNanos = own.findDueNanos(contentHash, nowNanos);
    Long firstNanos = refused.findFirstNanos(contentHash, nowNanos);
    if (dueNanos == null && firstNanos == null) {
      return false;
    }
    int dueMs =
        dueNanos == null
            ? Ticket.NOT_INVITED
            : (int) TimeUnit.NANOSECONDS.toMillis(dueNanos - nowNanos);
    int ageMs = firstNanos == null ? 0 : toAgeMs(firstNanos, nowNanos);
    tickets.add(new Ticket(contentHash, dueMs, ageMs));
    return true;
  }

  /**
   * Adds the refused callers of another owner. Ignores due times and ages that no owner sets,
   * tickets beyond {@link #MAX_TICKETS}, and those for which there is no memory; own invitations
   * are not affected.
   */
  public void addTickets(List<Ticket> tickets, long nowNanos) {
    latestNanos = nowNanos;
    int count = Math.min(MAX_TICKETS, tickets.size());
    for (Ticket ticket : tickets.subList(0, count)) {
      addRefused(ticket, nowNanos);
      if (ticket.dueMs() < -EXPIRY_MS || ticket.dueMs() > MAX_DELAY_MS) {
        continue;
      }
      // A ticket is sent twice, so a known one is not counted again.
      if (foreign.findDueNanos(ticket.contentHash(), nowNanos) == null) {
        long dueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(ticket.dueMs());
        long expiryNanos = dueNanos + TimeUnit.MILLISECONDS.toNanos(EXPIRY_MS);
        foreign.add(ticket.contentHash(), dueNanos, expiryNanos, nowNanos);
      }
    }
  }

  /** Records the age of another owner's caller, once, since a ticket is sent twice. */
  private void addRefused(Ticket ticket, long nowNanos) {
    boolean isKnown = foreignRefused.findFirstNanos(ticket.contentHash(), nowNanos) != null;
    if (!isKnown && ticket.ageMs() > 0 && ticket.ageMs() <= MAX_DELAY_MS) {
      long firstNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ticket.ageMs());
      foreignRefused.add(ticket.contentHash(), firstNanos, FOREIGN_REFUSED_MS, nowNanos);
    }
  }

  /** Returns the number of contents that are remembered, of own and other invitations. */
  int rememberedCount() {
    return own.size() + foreign.size();
  }

  /**
   * Invitation of a refused caller, for the other owners.
   *
   * @param contentHash the hash of the request's content
   * @param dueMs the time until the planned return, in milliseconds, negative if it has passed, or
   *     {@link #NOT_INVITED}
   * @param ageMs the time since the caller first came, in milliseconds, 0 if unknown
   */
  public record Ticket(long contentHash, int dueMs, int ageMs) {
    /** Due time of a caller that was not invited. */
    public static final int NOT_INVITED = Integer.MAX_VALUE;
  }
}
