package org.shoreroad.edge.sync;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Store decorator that counts the calls by kind, because the store limits the calls per second of
 * all processes together. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class CountedStore implements Store, LeaseStore {
  private final Store store;
  private final LeaseStore leaseStore;
  private final Consumer<String> counter;
  private final Map<String, Integer> counts = new TreeMap<>();

  /**
   * Creates a decorator with all counts at zero.
   *
   * @param store the topics, not null
   * @param leaseStore the groups, not null
   * @param counter receives the kind of each call, such as {@code read_upstreams}, not null
   */
  public CountedStore(Store store, LeaseStore leaseStore, Consumer<String> counter) {
    this.store = store;
    this.leaseStore = leaseStore;
    this.counter = counter;
  }

  /** Returns the number of calls of each kind since the previous invocation, and resets them. */
  public Map<String, Integer> takeCounts() {
    Map<String, Integer> taken = new TreeMap<>(counts);
    counts.clear();
    return taken;
  }

  @Override
  public void read(Topic topic, long fromOffset, int waitMs, StoreCallback<StorePage> callback) {
    count("read_", topic);
    store.read(topic, fromOffset, waitMs, callback);
  }

  @Override
  public void readNewest(Topic topic, String afterKey, StoreCallback<StorePage> callback) {
    count("newest_", topic);
    store.readNewest(topic, afterKey, callback);
  }

  @Override
  public void write(Topic topic, String key, byte[] value, StoreCallback<StorePosition> callback) {
    count("write_", topic);
    store.write(topic, key, value, callback);
  }

  @Override
  public void join(
      String group,
      String member,
      int ttlMs,
      long generation,
      StoreCallback<PartitionGrant> callback) {
    count("join");
    leaseStore.join(group, member, ttlMs, generation, callback);
  }

  @Override
  public void leave(String group, String member, long generation) {
    count("leave");
    leaseStore.leave(group, member, generation);
  }

  @Override
  public void owner(String group, StoreCallback<String> callback) {
    count("owner");
    leaseStore.owner(group, callback);
  }

  private void count(String verb, Topic topic) {
    count(verb + topic.code());
  }

  private void count(String kind) {
    counts.merge(kind, 1, Integer::sum);
    counter.accept(kind);
  }
}
