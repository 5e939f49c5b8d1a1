package org.shoreroad.edge.sync;

import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.shoreroad.edge.EventLog;

/**
 * Lease of one fabric domain. Only the holder forms and repairs the domain's replicas.
 *
 * <p>Each domain has a group of its own in the store; the member to which the store assigns
 * partition 0 owns the domain. A membership change in one group does not affect other domains. The
 * time to live counts from the sending of the last renewal, so a process that was paused or
 * partitioned stops before the store assigns the domain to another one. The store's era and the
 * group's generation make up the fencing number of all orders in the domain, which is also the
 * upper part of each formation number.
 *
 * <p>A store restored from an older copy may assign the domain to a former owner while the lease of
 * the last owner is still valid. So after a new era a lease counts as held at once only if it was
 * valid without a gap; any other lease is held after one time to live, when the leases of the
 * former era have ended. Not thread-safe: used on the event loop.
 */
final class DomainLease {
  /** Time to live of the membership: twice the minimum that the store allows. Milliseconds. */
  private static final int TTL_MS = 2_000;

  /** Interval of renewals. Two fit into the time to live minus the safety margin. */
  private static final int RENEWAL_INTERVAL_MS = 800;

  /** Delay after a renewal that failed, so that three more attempts fit after a rejected one. */
  private static final int RENEWAL_RETRY_MS = 300;

  /** Safety margin by which the lease ends earlier here than in the store. Milliseconds. */
  private static final int MARGIN_MS = 300;

  /** Delay before the first order of a new owner, for orders of the former owner in flight. */
  private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** The partition whose holder owns the domain; every topic has it. */
  private static final int OWNING_PARTITION = 0;

  private final LeaseStore store;
  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final String member;
  private final String domain;
  private final FormationNumbers formationNumbers;
  private final long claimedNanos;
  private long formerLeasesEndNanos;
  private PartitionGrant grant = new PartitionGrant(StoreEra.NONE, 0, Set.of());
  private long validUntilNanos = Long.MIN_VALUE;
  private long heldFromNanos;
  private boolean wasGranted;
  private boolean hasLeft;

  /**
   * Creates a lease that is not held; {@link #claim} joins the domain's group.
   *
   * @param formationNumbers the generator of this process for the domain, shared by all its leases
   *     there, not null
   * @param formerLeasesEndNanos the time when the last lease of the store's former era ends
   */
  DomainLease(
      LeaseStore store,
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      String member,
      String domain,
      FormationNumbers formationNumbers,
      long formerLeasesEndNanos) {
    this.store = store;
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.log = log;
    this.member = member;
    this.domain = domain;
    this.formationNumbers = formationNumbers;
    this.claimedNanos = clockNanos.getAsLong();
    this.formerLeasesEndNanos = formerLeasesEndNanos;
  }

  /** Joins the domain's group and stays in it until {@link #leave}. */
  void claim() {
    if (hasLeft) {
      return;
    }
    long sentNanos = clockNanos.getAsLong();
    store.join(
        domain,
        member,
        TTL_MS,
        grant.generation(),
        new StoreCallback<>() {
          @Override
          public void onValue(PartitionGrant next) {
            apply(next, sentNanos);
            loop.schedule(DomainLease.this::claim, RENEWAL_INTERVAL_MS, TimeUnit.MILLISECONDS);
          }

          @Override
          public void onFault(StoreFault fault) {
            loop.schedule(DomainLease.this::claim, RENEWAL_RETRY_MS, TimeUnit.MILLISECONDS);
          }
        });
  }

  /** Returns the time when a lease ends that was last renewed at the given time. */
  static long endOfLeases(long renewedNanos) {
    return renewedNanos + TimeUnit.MILLISECONDS.toNanos(TTL_MS);
  }

  /**
   * Records that the store was restored from an older copy.
   *
   * @param endNanos the time when the last lease of the former era ends
   */
  void noteEra(long endNanos) {
    formerLeasesEndNanos = endNanos;
  }

  /** Leaves the group, so that another process can claim the domain without waiting. */
  void leave() {
    hasLeft = true;
    validUntilNanos = Long.MIN_VALUE;
    store.leave(domain, member, grant.generation());
  }

  /** Returns true if the store has assigned the domain to this process and the lease is valid. */
  boolean isGranted() {
    return clockNanos.getAsLong() < validUntilNanos && ownsDomain(grant);
  }

  /** Returns true if this process may send orders for the domain now. */
  boolean isHeld() {
    return isGranted() && clockNanos.getAsLong() - heldFromNanos >= 0;
  }

  /** Returns true if the store assigned the domain to this process earlier and no longer does. */
  boolean isLost() {
    return wasGranted && !ownsDomain(grant);
  }

  /** Returns how long ago this process claimed the domain, in nanoseconds. */
  long claimAgeNanos() {
    return clockNanos.getAsLong() - claimedNanos;
  }

  /** Returns the fencing number of orders sent now. */
  long fencingNumber() {
    return grant.fencingNumber();
  }

  /** Returns a number higher than that of any earlier formation in the domain. */
  long nextEpoch() {
    return formationNumbers.next(grant.fencingNumber());
  }

  private static boolean ownsDomain(PartitionGrant grant) {
    return grant.partitions().contains(OWNING_PARTITION);
  }

  private void apply(PartitionGrant next, long sentNanos) {
    if (hasLeft) {
      return;
    }
    boolean isNewEra = next.era() != grant.era();
    if (ownsDomain(next) && (!ownsDomain(grant) || (isNewEra && !isGranted()))) {
      long settledNanos = clockNanos.getAsLong() + SETTLE_NANOS;
      heldFromNanos = Math.max(settledNanos, formerLeasesEndNanos);
      wasGranted = true;
    }
    if (ownsDomain(next) != ownsDomain(grant)) {
      log.write(
          "domain_lease",
          "domain",
          domain,
          "isGranted",
          ownsDomain(next),
          "era",
          next.era(),
          "generation",
          next.generation());
    }
    grant = next;
    validUntilNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(TTL_MS - MARGIN_MS);
  }
}
