package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.ElapsedClock;
import org.shoreroad.edge.EventLog;

/** Tests of the lease of one domain with a fake clock. */
class DomainLeaseTest {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private final FakeStore store = new FakeStore();
  private final DomainLease lease =
      new DomainLease(
          store,
          channel.eventLoop(),
          () -> nowNanos,
          log,
          "me",
          "s/d",
          new FormationNumbers(),
          Long.MIN_VALUE / 2);

  private void advance(long nanos) {
    nowNanos += nanos;
    channel.advanceTimeBy(nanos, TimeUnit.NANOSECONDS);
    channel.runScheduledPendingTasks();
  }

  @Test
  void leaseIsHeldAfterTheDelayUntilItExpires() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    lease.claim();
    assertThat(lease.isHeld(), is(false));
    advance(700_000_000L);
    assertThat(lease.isHeld(), is(true));
    assertThat(lease.fencingNumber(), is(7L));
    store.failWith(StoreFault.NO_ANSWER);
    advance(1_000_000_000L);
    advance(1_000_000_000L);
    assertThat(lease.isHeld(), is(false));
  }

  /**
   * The lease expires in the store while the box is suspended, and the store may assign the domain
   * to another process.
   */
  @Test
  void leaseExpiresWhileTheBoxIsSuspended() {
    long[] suspendedNanos = {0};
    ElapsedClock elapsed =
        new ElapsedClock(
            () -> nowNanos, () -> TimeUnit.NANOSECONDS.toMillis(nowNanos + suspendedNanos[0]));
    DomainLease held =
        new DomainLease(
            store,
            channel.eventLoop(),
            elapsed::nowNanos,
            log,
            "me",
            "s/d",
            new FormationNumbers(),
            Long.MIN_VALUE / 2);
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    held.claim();
    advance(700_000_000L);
    assertThat(held.isHeld(), is(true));
    suspendedNanos[0] = TimeUnit.SECONDS.toNanos(3);
    assertThat(held.isHeld(), is(false));
    assertThat(held.isGranted(), is(false));
  }

  @Test
  void leaseIsLostWhenTheDomainIsReassigned() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    lease.claim();
    advance(700_000_000L);
    assertThat(lease.isLost(), is(false));
    store.grant(new PartitionGrant(StoreEra.NONE, 8, Set.of(1)));
    advance(500_000_000L);
    assertThat(lease.isHeld(), is(false));
    assertThat(lease.isLost(), is(true));
  }

  @Test
  void ungrantedClaimIsNeitherHeldNorLost() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(2, 3)));
    lease.claim();
    advance(1_000_000_000L);
    assertThat(lease.isGranted(), is(false));
    assertThat(lease.isLost(), is(false));
  }

  @Test
  void formationNumbersIncreaseOverGenerations() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    lease.claim();
    long first = lease.nextEpoch();
    long second = lease.nextEpoch();
    store.grant(new PartitionGrant(StoreEra.NONE, 8, Set.of(0)));
    advance(900_000_000L);
    assertThat(lease.fencingNumber(), is(8L));
    long third = lease.nextEpoch();
    assertThat(first < second && second < third, is(true));
  }

  @Test
  void leaseSurvivesThreeRejectedRenewals() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    lease.claim();
    store.failWith(StoreFault.REFUSED);
    advance(800_000_000L);
    advance(300_000_000L);
    advance(300_000_000L);
    assertThat(lease.isHeld(), is(true));
    store.failWith(null);
    advance(290_000_000L);
    advance(10_000_000L);
    advance(700_000_000L);
    assertThat(lease.isHeld(), is(true));
  }

  @Test
  void leaseIsNotHeldAfterLeaving() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    lease.claim();
    advance(700_000_000L);
    lease.leave();
    assertThat(lease.isHeld(), is(false));
    assertThat(store.hasLeft(), is(true));
    advance(700_000_000L);
    assertThat(lease.isHeld(), is(false));
  }
}
