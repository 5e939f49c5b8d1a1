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

/** Tests of announcements across restarts and after the store was restored from an older copy. */
class ProcessRegistryTest {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final EventLog log = new EventLog("t", System::nanoTime, OutputStream.nullOutputStream());
  private final FakeStore store = new FakeStore();
  private final ProcessLocation self = new ProcessLocation("box-0~0", "z");
  private final PeerMesh mesh =
      new PeerMesh(
          channel.eventLoop(), System::nanoTime, log, self, new EmptyHeartbeats(), heartbeat -> {});
  private final ProcessRegistry registry =
      new ProcessRegistry(store, channel.eventLoop(), log, mesh, self);

  /** A store that accepts writes or answers them with a fault. */
  private static final class FakeStore implements Store {
    private final List<String> writtenKeys = new ArrayList<>();
    private long era = 1;
    private boolean isUnavailable;

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
      if (isUnavailable) {
        callback.onFault(StoreFault.NO_ANSWER);
        return;
      }
      writtenKeys.add(key);
      callback.onValue(StorePosition.of(era, writtenKeys.size()));
    }
  }

  /** Sends empty heartbeats. */
  private static final class EmptyHeartbeats implements PeerMesh.HeartbeatSource {
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
      // No state to update.
    }
  }

  private static StorePosition at(long era, long offset) {
    return StorePosition.of(era, offset);
  }

  private void announced(String name, StorePosition position) {
    byte[] value = new Announcement("127.0.0.1:1", "z").toBytes();
    registry.onRecord(new StoreRecord(position, name, value));
  }

  private void advanceMs(int millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  @Test
  void announcementMissingInTheCopyIsRewrittenOnce() {
    registry.announce(new Announcement("127.0.0.1:2", "z"));
    registry.onListed(Set.of(), at(1, 0));
    assertThat(store.writtenKeys.size(), is(1));
    store.era = 2;
    registry.onListed(Set.of("box-9~9"), at(2, 1));
    registry.onListed(Set.of("box-9~9"), at(2, 1));
    assertThat(store.writtenKeys.size(), is(2));
  }

  @Test
  void announcementInTheCopyIsNotRewritten() {
    registry.announce(new Announcement("127.0.0.1:2", "z"));
    store.era = 2;
    registry.onListed(Set.of("box-0~0"), at(2, 1));
    assertThat(store.writtenKeys.size(), is(1));
    // A second restore may lose an announcement that the first one contained.
    store.era = 3;
    registry.onListed(Set.of(), at(3, 0));
    assertThat(store.writtenKeys.size(), is(2));
  }

  @Test
  void pendingAnnouncementIsNotWrittenTwice() {
    store.isUnavailable = true;
    registry.announce(new Announcement("127.0.0.1:2", "z"));
    registry.onListed(Set.of(), at(2, 0));
    store.isUnavailable = false;
    store.era = 2;
    advanceMs(1_000);
    assertThat(store.writtenKeys.size(), is(1));
  }

  @Test
  void knownProcessesMissingInTheCopyRemain() {
    announced("box-1~1", at(1, 3));
    announced("box-2~1", at(1, 4));
    announced("box-1~1", at(2, 3));
    registry.onListed(Set.of("box-1~1"), at(2, 4));
    assertThat(mesh.names(), containsInAnyOrder("box-1~1", "box-2~1"));
  }

  @Test
  void earlierIncarnationInTheCopyIsIgnored() {
    announced("box-1~1", at(1, 3));
    announced("box-1~2", at(1, 9));
    announced("box-1~1", at(2, 3));
    registry.onListed(Set.of("box-1~1"), at(2, 4));
    assertThat(mesh.names(), containsInAnyOrder("box-1~2"));
    announced("box-1~2", at(2, 4));
    assertThat(mesh.names(), containsInAnyOrder("box-1~2"));
  }

  @Test
  void laterIncarnationAtALowerOffsetIsAccepted() {
    announced("box-1~b", at(1, 9));
    // A listing is in the order of the keys; in the copy, the earlier announcement is at offset 5.
    announced("box-1~a", at(2, 6));
    announced("box-1~b", at(2, 5));
    registry.onListed(Set.of("box-1~a", "box-1~b"), at(2, 7));
    assertThat(mesh.names(), containsInAnyOrder("box-1~a"));
  }
}
