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

/** The lease of one domain, with a clock that the test turns. */
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

  private void pass(long nanos) {
    nowNanos += nanos;
    channel.advanceTimeBy(nanos, TimeUnit.NANOSECONDS);
    channel.runScheduledPendingTasks();
  }

  @Test
  void holdsAfterItSettledAndUntilItsOwnEnd() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    lease.claim();
    assertThat(lease.isHeld(), is(false));
    pass(700_000_000L);
    assertThat(lease.isHeld(), is(true));
    assertThat(lease.fencingNumber(), is(7L));
    store.failWith(StoreFault.NO_ANSWER);
    pass(1_000_000_000L);
    pass(1_000_000_000L);
    assertThat(lease.isHeld(), is(false));
  }

  /**
   * The store counts on while the box is suspended, and may assign the domain to another process.
   */
  @Test
  void aLeaseEndsWhileTheBoxIsSuspended() {
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
    pass(700_000_000L);
    assertThat(held.isHeld(), is(true));
    suspendedNanos[0] = TimeUnit.SECONDS.toNanos(3);
    assertThat(held.isHeld(), is(false));
    assertThat(held.isGranted(), is(false));
  }

  @Test
  void aDomainThatPassedToAnotherMemberIsLost() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    lease.claim();
    pass(700_000_000L);
    assertThat(lease.isLost(), is(false));
    store.grant(new PartitionGrant(StoreEra.NONE, 8, Set.of(1)));
    pass(500_000_000L);
    assertThat(lease.isHeld(), is(false));
    assertThat(lease.isLost(), is(true));
  }

  @Test
  void aClaimThatAnotherMemberIsBeforeIsNotLostButNotHeld() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(2, 3)));
    lease.claim();
    pass(1_000_000_000L);
    assertThat(lease.isGranted(), is(false));
    assertThat(lease.isLost(), is(false));
  }

  @Test
  void numbersOfFormationsRiseOverGenerations() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    lease.claim();
    long first = lease.nextEpoch();
    long second = lease.nextEpoch();
    store.grant(new PartitionGrant(StoreEra.NONE, 8, Set.of(0)));
    pass(900_000_000L);
    assertThat(lease.fencingNumber(), is(8L));
    long third = lease.nextEpoch();
    assertThat(first < second && second < third, is(true));
  }

  @Test
  void staysHeldWhileTheStoreRejectsThreeRenewals() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    lease.claim();
    store.failWith(StoreFault.REFUSED);
    pass(800_000_000L);
    pass(300_000_000L);
    pass(300_000_000L);
    assertThat(lease.isHeld(), is(true));
    store.failWith(null);
    pass(290_000_000L);
    pass(10_000_000L);
    pass(700_000_000L);
    assertThat(lease.isHeld(), is(true));
  }

  @Test
  void holdsNothingMoreAfterLeaving() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    lease.claim();
    pass(700_000_000L);
    lease.leave();
    assertThat(lease.isHeld(), is(false));
    assertThat(store.hasLeft(), is(true));
    pass(700_000_000L);
    assertThat(lease.isHeld(), is(false));
  }
}
