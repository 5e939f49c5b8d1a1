package org.shoreroad.edge.peer;

import io.netty.channel.EventLoop;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.Store;
import org.shoreroad.edge.sync.StoreCallback;
import org.shoreroad.edge.sync.StoreFault;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.edge.sync.Topic;
import org.shoreroad.edge.sync.TopicFollower;
import org.shoreroad.member.HubPlan.ProcessLocation;

/**
 * Registry of the processes that have announced themselves in the store, including this one.
 *
 * <p>Not thread-safe: for use on the event loop.
 *
 * @since 0.2
 */
public final class ProcessRegistry implements TopicFollower.Listener {
  /** Delay before the retry of a failed write of the announcement. */
  private static final int RETRY_DELAY_MS = 500;

  /** Minimum interval between reads of the process list. */
  private static final int INTERVAL_MS = 500;

  /**
   * Minimum interval between reads of the process list for a member of a hub, which needs the hubs
   * only. Reading at every change would cost N reads per process in a rolling restart of N.
   */
  private static final int MEMBER_INTERVAL_MS = 4_000;

  private final Store store;
  private final EventLoop loop;
  private final EventLog log;
  private final PeerMesh mesh;
  private final ProcessLocation self;
  private @Nullable Announcement announcement;
  private StorePosition announced = StorePosition.NONE;

  /** Creates a registry; {@link #announce} adds this process. */
  public ProcessRegistry(
      Store store, EventLoop loop, EventLog log, PeerMesh mesh, ProcessLocation self) {
    this.store = store;
    this.loop = loop;
    this.log = log;
    this.mesh = mesh;
    this.self = self;
  }

  /** Announces this process; retries until the store accepts the announcement. */
  public void announce(Announcement newAnnouncement) {
    announcement = newAnnouncement;
    write(newAnnouncement);
  }

  /** Returns the minimum interval between two reads of the process list, in milliseconds. */
  public int readIntervalMs() {
    return mesh.isMember() ? MEMBER_INTERVAL_MS : INTERVAL_MS;
  }

  private void write(Announcement written) {
    store.write(
        Topic.PROCESSES,
        self.name(),
        written.toBytes(),
        new StoreCallback<>() {
          @Override
          public void onValue(StorePosition position) {
            announced = position;
            log.write("announced", "era", position.era(), "offset", position.offset());
          }

          @Override
          public void onFault(StoreFault fault) {
            log.write("not_announced", "fault", fault);
            loop.schedule(() -> write(written), RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
          }
        });
  }

  @Override
  public void onRecord(StoreRecord record) {
    byte[] value = record.value();
    if (value == null) {
      mesh.remove(record.key());
    } else {
      add(record, value);
    }
  }

  /**
   * Announces this process again if the store had accepted its announcement and was then restored
   * from a copy without it. Processes that the copy lacks remain known: heartbeats detect processes
   * that are gone.
   */
  @Override
  public void onListed(Set<String> keys, StorePosition end) {
    mesh.noteListed();
    Announcement lost = announcement;
    if (lost != null && announced.offset() >= 0 && announced.era() < end.era()) {
      if (keys.contains(self.name())) {
        announced = end;
      } else {
        log.write("announcement_lost", "era", announced.era(), "offset", announced.offset());
        announced = StorePosition.NONE;
        write(lost);
      }
    }
  }

  private void add(StoreRecord record, byte[] value) {
    try {
      Announcement announcement = Announcement.parse(value);
      ProcessLocation location = new ProcessLocation(record.key(), announcement.zone());
      mesh.add(location, announcement.address(), record.position());
    } catch (IllegalArgumentException e) {
      log.write("announcement_unreadable", "peer", record.key(), "why", e.getMessage());
    }
  }
}
