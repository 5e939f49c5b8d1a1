package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;

/** Tests the formation numbers of a domain whose owner loses the lease and gets it again. */
class FormationNumberTest {
  private static final String DOMAIN = "s/d";
  private static final int STEP_MS = 100;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private final FakeStore store = new FakeStore();
  private final DomainLeases leases =
      new DomainLeases(
          store,
          channel.eventLoop(),
          () -> nowNanos,
          log,
          "me",
          new NoPeers(),
          () -> Set.of(DOMAIN));

  /** Peers of a process that is the only one. */
  private static final class NoPeers implements DomainLeases.Peers {
    @Override
    public int aliveCount() {
      return 1;
    }

    @Override
    public @Nullable Set<String> ownedDomains() {
      return Set.of();
    }

    @Override
    public Set<String> names() {
      return Set.of();
    }
  }

  private void advance(int seconds) {
    for (int i = 0; i < seconds * 1_000 / STEP_MS; i++) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(STEP_MS);
      channel.advanceTimeBy(STEP_MS, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
  }

  @Test
  void numberIsNotReusedUnderTheSameGeneration() {
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    leases.start();
    advance(10);
    assertThat(leases.grantedDomains(), contains(DOMAIN));
    long before = leases.nextEpoch(DOMAIN);
    store.failWith(StoreFault.NO_ANSWER);
    advance(10);
    assertThat(leases.grantedDomains(), empty());
    store.failWith(null);
    store.grant(new PartitionGrant(StoreEra.NONE, 7, Set.of(0)));
    advance(10);
    assertThat(leases.grantedDomains(), contains(DOMAIN));
    assertThat(leases.nextEpoch(DOMAIN), greaterThan(before));
  }
}
