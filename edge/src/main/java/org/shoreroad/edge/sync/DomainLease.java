package org.shoreroad.edge.sync;

import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.shoreroad.edge.EventLog;
import org.shoreroad.routing.Rendezvous;

/**
 * The fabric domains whose replicas this process may form and mend.
 *
 * <p>The store deals the partitions out among the processes that keep in touch with it; a domain
 * belongs to the holder of the partition its name falls on. The time to live counts from the
 * sending of the last renewal, so a process that was paused or cut off stops before the store lets
 * another begin. The generation is the fencing number of all orders, and the upper part of each
 * formation's number. Used on the event loop.
 *
 * @since 0.2
 */
public final class DomainLease {
  /** The store takes partitions away after this silence: twice the shortest it allows. */
  private static final int TTL_MS = 2_000;

  /** Four renewals fit into the time to live, so that two may be lost. */
  private static final int RENEW_MS = 500;

  /** How much earlier than the store this process takes its hold as ended. */
  private static final int MARGIN_MS = 300;

  /** After a change of the deal the former holder's last orders get this long to arrive. */
  private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Formations that one generation can number. */
  private static final int SEQUENCE_BITS = 20;

  private final Store store;
  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final String member;
  private final int partitions;
  private PartitionGrant grant = new PartitionGrant(0, Set.of());
  private long validUntilNanos = Long.MIN_VALUE;
  private long changedNanos;
  private long sequence;
  private boolean isLeaving;
  private boolean hasJoined;
  private BooleanSupplier isCandidate = () -> true;

  /** Creates a lease that holds nothing; {@link #start} joins the group. */
  public DomainLease(
      Store store,
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      String member,
      int partitions) {
    this.store = store;
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.log = log;
    this.member = member;
    this.partitions = partitions;
  }

  /** Sets whether this process is one of those that share the domains; it leaves if it is not. */
  public void joinWhile(BooleanSupplier isWanted) {
    isCandidate = isWanted;
  }

  /** Returns true if this process may give orders for any domain now. */
  public boolean holdsAny() {
    return clockNanos.getAsLong() < validUntilNanos && !grant.partitions().isEmpty();
  }

  /** Joins the group and stays in it. */
  public void start() {
    renew();
  }

  /** Leaves the group, so that others take over at once. */
  public void leave() {
    isLeaving = true;
    validUntilNanos = Long.MIN_VALUE;
    store.leave(member, grant.generation());
  }

  /** Returns true if this process may give orders for the domain now. */
  public boolean holds(String domain) {
    long nowNanos = clockNanos.getAsLong();
    return nowNanos < validUntilNanos
        && nowNanos - changedNanos >= SETTLE_NANOS
        && grant.partitions().contains(partitionOf(domain));
  }

  /** Returns the fencing number of orders given now. */
  public long fence() {
    return grant.generation();
  }

  /** Returns a number higher than that of any earlier formation. */
  public long nextEpoch() {
    sequence++;
    return (grant.generation() << SEQUENCE_BITS) + sequence;
  }

  private int partitionOf(String domain) {
    return (int) Math.floorMod(Rendezvous.score("domain", domain), (long) partitions);
  }

  private void renew() {
    if (isLeaving) {
      return;
    }
    if (!isCandidate.getAsBoolean()) {
      standBack();
      loop.schedule(this::renew, RENEW_MS, TimeUnit.MILLISECONDS);
      return;
    }
    hasJoined = true;
    long sentNanos = clockNanos.getAsLong();
    store.join(
        member,
        TTL_MS,
        grant.generation(),
        new StoreCallback<>() {
          @Override
          public void onValue(PartitionGrant next) {
            take(next, sentNanos);
            loop.schedule(DomainLease.this::renew, RENEW_MS, TimeUnit.MILLISECONDS);
          }

          @Override
          public void onFault(StoreFault fault) {
            loop.schedule(DomainLease.this::renew, RENEW_MS, TimeUnit.MILLISECONDS);
          }
        });
  }

  /** Lets others have the domains. */
  private void standBack() {
    validUntilNanos = Long.MIN_VALUE;
    if (hasJoined) {
      hasJoined = false;
      store.leave(member, grant.generation());
      grant = new PartitionGrant(grant.generation(), Set.of());
    }
  }

  private void take(PartitionGrant next, long sentNanos) {
    if (isLeaving || !hasJoined) {
      return;
    }
    if (!next.equals(grant)) {
      if (!grant.partitions().containsAll(next.partitions())) {
        changedNanos = clockNanos.getAsLong();
      }
      sequence = next.generation() == grant.generation() ? sequence : 0;
      log.write(
          "domains_dealt", "generation", next.generation(), "partitions", next.partitions().size());
      grant = next;
    }
    validUntilNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(TTL_MS - MARGIN_MS);
  }
}
