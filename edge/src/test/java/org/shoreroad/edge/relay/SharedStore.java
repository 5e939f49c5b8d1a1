package org.shoreroad.edge.relay;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.edge.sync.LeaseStore;
import org.shoreroad.edge.sync.PartitionGrant;
import org.shoreroad.edge.sync.Store;
import org.shoreroad.edge.sync.StoreCallback;
import org.shoreroad.edge.sync.StorePage;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.edge.sync.Topic;

/** Store in memory for several processes of one JVM, without faults. Thread-safe. */
final class SharedStore {
  private static final int POLL_MS = 10;

  private final Map<Topic, List<StoreRecord>> records = new EnumMap<>(Topic.class);
  private final Map<String, Group> groups = new HashMap<>();

  private static final class Group {
    private String holder = "";
    private long endNanos;
    private long generation;
  }

  synchronized StorePosition put(Topic topic, String key, byte[] value) {
    List<StoreRecord> all = records.computeIfAbsent(topic, added -> new ArrayList<>());
    StorePosition position = StorePosition.of(1, all.size());
    all.add(new StoreRecord(position, key, value));
    return position;
  }

  private synchronized StorePage page(Topic topic, long fromOffset) {
    List<StoreRecord> all = records.getOrDefault(topic, List.of());
    return new StorePage(
        all.subList((int) fromOffset, all.size()), StorePosition.of(1, all.size()), false);
  }

  private synchronized StorePage newest(Topic topic) {
    Map<String, StoreRecord> newest = new LinkedHashMap<>();
    List<StoreRecord> all = records.getOrDefault(topic, List.of());
    all.forEach(record -> newest.put(record.key(), record));
    List<StoreRecord> sorted =
        newest.values().stream().sorted((a, b) -> a.key().compareTo(b.key())).toList();
    return new StorePage(sorted, StorePosition.of(1, all.size()), false);
  }

  private synchronized PartitionGrant join(String name, String member, int ttlMs) {
    Group group = groups.computeIfAbsent(name, added -> new Group());
    long nowNanos = System.nanoTime();
    if (group.holder.isEmpty() || nowNanos - group.endNanos > 0) {
      group.holder = member;
      group.generation++;
    }
    boolean isHolder = group.holder.equals(member);
    if (isHolder) {
      group.endNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(ttlMs);
    }
    return new PartitionGrant(1, group.generation, isHolder ? Set.of(0) : Set.of());
  }

  private synchronized void leave(String name, String member) {
    Group group = groups.get(name);
    if (group != null && group.holder.equals(member)) {
      group.holder = "";
      group.generation++;
    }
  }

  /** Returns the member that holds a group, empty if there is none. */
  synchronized String holder(String name) {
    Group group = groups.get(name);
    boolean isHeld = group != null && group.endNanos - System.nanoTime() > 0;
    return isHeld ? group.holder : "";
  }

  /** Returns the store as used by the process with this event loop. */
  View viewOf(EventLoop loop) {
    return new View(loop);
  }

  /** The store as used by one process. */
  final class View implements Store, LeaseStore {
    private final EventLoop loop;

    private View(EventLoop loop) {
      this.loop = loop;
    }

    @Override
    public void read(Topic topic, long fromOffset, int waitMs, StoreCallback<StorePage> callback) {
      readUntil(
          System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs), topic, fromOffset, callback);
    }

    private void readUntil(
        long endNanos, Topic topic, long fromOffset, StoreCallback<StorePage> callback) {
      StorePage page = page(topic, fromOffset);
      if (page.records().isEmpty() && System.nanoTime() - endNanos < 0) {
        loop.schedule(
            () -> readUntil(endNanos, topic, fromOffset, callback), POLL_MS, TimeUnit.MILLISECONDS);
      } else {
        loop.execute(() -> callback.onValue(page));
      }
    }

    @Override
    public void readNewest(Topic topic, String afterKey, StoreCallback<StorePage> callback) {
      loop.execute(() -> callback.onValue(newest(topic)));
    }

    @Override
    public void write(
        Topic topic, String key, byte[] value, StoreCallback<StorePosition> callback) {
      StorePosition position = put(topic, key, value);
      loop.execute(() -> callback.onValue(position));
    }

    @Override
    public void join(
        String group,
        String member,
        int ttlMs,
        long generation,
        StoreCallback<PartitionGrant> callback) {
      PartitionGrant grant = SharedStore.this.join(group, member, ttlMs);
      loop.execute(() -> callback.onValue(grant));
    }

    @Override
    public void leave(String group, String member, long generation) {
      SharedStore.this.leave(group, member);
    }

    @Override
    public void owner(String group, StoreCallback<String> callback) {
      String owner = holder(group);
      loop.execute(() -> callback.onValue(owner));
    }
  }
}
