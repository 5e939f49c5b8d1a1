package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.Store;
import org.shoreroad.edge.sync.StoreCallback;
import org.shoreroad.edge.sync.StoreFault;
import org.shoreroad.edge.sync.StorePage;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.edge.sync.Topic;
import org.shoreroad.member.HubPlan.ProcessLocation;

/** Announcements of processes, over restarts and over a store that comes back older. */
class ProcessRegistryTest {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final EventLog log = new EventLog("t", System::nanoTime, OutputStream.nullOutputStream());
  private final FakeStore store = new FakeStore();
  private final ProcessLocation self = new ProcessLocation("box-0~0", "z");
  private final PeerMesh mesh =
      new PeerMesh(channel.eventLoop(), System::nanoTime, log, self, new Silent(), beat -> {});
  private final ProcessRegistry registry =
      new ProcessRegistry(store, channel.eventLoop(), log, mesh, self);

  /** Takes writes, or refuses them. */
  private static final class FakeStore implements Store {
    private final List<String> writtenKeys = new ArrayList<>();
    private long era = 1;
    private boolean isAway;

    @Override
    public void read(Topic topic, long from, int waitMs, StoreCallback<StorePage> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void readNewest(Topic topic, String afterKey, StoreCallback<StorePage> callback) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void write(
        Topic topic, String key, byte[] value, StoreCallback<StorePosition> callback) {
      if (isAway) {
        callback.onFault(StoreFault.NO_ANSWER);
        return;
      }
      writtenKeys.add(key);
      callback.onValue(StorePosition.of(era, writtenKeys.size()));
    }
  }

  /** Sends nothing worth reading. */
  private static final class Silent implements PeerMesh.HeartbeatSource {
    @Override
    public Heartbeat make(String sender, long sentNanos) {
      return Heartbeats.of(sender).bare();
    }

    @Override
    public ListUpdate listSince(StorePosition position) {
      return ListUpdate.NONE;
    }

    @Override
    public void onSent() {
      // Nothing was sent.
    }
  }

  private static StorePosition at(long era, long offset) {
    return StorePosition.of(era, offset);
  }

  private void announced(String name, StorePosition position) {
    byte[] value = new Announcement("127.0.0.1:1", "z").toBytes();
    registry.onRecord(new StoreRecord(position, name, value));
  }

  private void pass(int millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  @Test
  void anAnnouncementThatTheCopyLacksIsWrittenAgainOnce() {
    registry.announce(new Announcement("127.0.0.1:2", "z"));
    registry.onListed(Set.of(), at(1, 0));
    assertThat(store.writtenKeys.size(), is(1));
    store.era = 2;
    registry.onListed(Set.of("box-9~9"), at(2, 1));
    registry.onListed(Set.of("box-9~9"), at(2, 1));
    assertThat(store.writtenKeys.size(), is(2));
  }

  @Test
  void anAnnouncementThatTheCopyHoldsIsNotWrittenAgain() {
    registry.announce(new Announcement("127.0.0.1:2", "z"));
    store.era = 2;
    registry.onListed(Set.of("box-0~0"), at(2, 1));
    assertThat(store.writtenKeys.size(), is(1));
    // A second drill may lose what the first one kept.
    store.era = 3;
    registry.onListed(Set.of(), at(3, 0));
    assertThat(store.writtenKeys.size(), is(2));
  }

  @Test
  void anAnnouncementUnderWayIsNotWrittenTwice() {
    store.isAway = true;
    registry.announce(new Announcement("127.0.0.1:2", "z"));
    registry.onListed(Set.of(), at(2, 0));
    store.isAway = false;
    store.era = 2;
    pass(1_000);
    assertThat(store.writtenKeys.size(), is(1));
  }

  @Test
  void knownProcessesStayIfTheCopyLacksThem() {
    announced("box-1~1", at(1, 3));
    announced("box-2~1", at(1, 4));
    announced("box-1~1", at(2, 3));
    registry.onListed(Set.of("box-1~1"), at(2, 4));
    assertThat(mesh.names(), containsInAnyOrder("box-1~1", "box-2~1"));
  }

  @Test
  void aCopyDoesNotBringAnEarlierIncarnationBack() {
    announced("box-1~1", at(1, 3));
    announced("box-1~2", at(1, 9));
    announced("box-1~1", at(2, 3));
    registry.onListed(Set.of("box-1~1"), at(2, 4));
    assertThat(mesh.names(), containsInAnyOrder("box-1~2"));
    announced("box-1~2", at(2, 4));
    assertThat(mesh.names(), containsInAnyOrder("box-1~2"));
  }

  @Test
  void aLaterIncarnationAtALowerOffsetIsTakenFromAListing() {
    announced("box-1~b", at(1, 9));
    // A listing comes in the order of the keys; the copy had the earlier announcement at 5.
    announced("box-1~a", at(2, 6));
    announced("box-1~b", at(2, 5));
    registry.onListed(Set.of("box-1~a", "box-1~b"), at(2, 7));
    assertThat(mesh.names(), containsInAnyOrder("box-1~a"));
  }
}
