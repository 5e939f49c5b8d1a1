package org.shoreroad.edge.sync;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** In-memory store that answers immediately, or fails if so configured. Not thread-safe. */
final class FakeStore implements Store, LeaseStore {
  static final int PAGE_RECORDS = 2;

  private final List<StoreRecord> records = new ArrayList<>();
  private final List<String> calls = new ArrayList<>();
  private final List<Integer> waitsMs = new ArrayList<>();
  private final List<Long> joinedGenerations = new ArrayList<>();
  private long firstOffset;
  private long era = 1;
  private @Nullable StoreFault fault;
  private int maxReadRecords = Integer.MAX_VALUE;
  private PartitionGrant grant = new PartitionGrant(1, 1, Set.of());
  private boolean hasLeft;

  void put(String key, @Nullable String value) {
    byte[] bytes = value == null ? null : value.getBytes(StandardCharsets.UTF_8);
    records.add(new StoreRecord(end(), key, bytes));
  }

  /** Adds bytes that are no record of a keyed topic. */
  void putUnreadable() {
    records.add(StoreRecord.unreadable(end()));
  }

  private StorePosition end() {
    return StorePosition.of(era, records.size());
  }

  /** Restores a copy that lacks the last records; their offsets are assigned again. */
  void restoreOlderCopy(int lostRecords) {
    era++;
    records.subList(records.size() - lostRecords, records.size()).clear();
  }

  void trim() {
    firstOffset = records.size();
  }

  void failWith(@Nullable StoreFault next) {
    fault = next;
  }

  /** Cuts each read off after so many records. */
  void cutReadsAfter(int maxRecords) {
    maxReadRecords = maxRecords;
  }

  void grant(PartitionGrant next) {
    grant = next;
  }

  List<String> calls() {
    return calls;
  }

  /** Returns the wait of each read, in milliseconds. */
  List<Integer> waitsMs() {
    return waitsMs;
  }

  boolean hasLeft() {
    return hasLeft;
  }

  @Override
  public void read(Topic topic, long fromOffset, int waitMs, StoreCallback<StorePage> callback) {
    calls.add("read " + fromOffset);
    waitsMs.add(waitMs);
    if (fault != null) {
      callback.onFault(fault);
    } else if (fromOffset < firstOffset || fromOffset > records.size()) {
      callback.onFault(StoreFault.TRIMMED);
    } else {
      List<StoreRecord> rest = records.subList((int) fromOffset, records.size());
      List<StoreRecord> found = rest.subList(0, Math.min(maxReadRecords, rest.size()));
      callback.onValue(new StorePage(found, end(), found.size() < rest.size()));
    }
  }

  @Override
  public void readNewest(Topic topic, String afterKey, StoreCallback<StorePage> callback) {
    calls.add("newest " + afterKey);
    if (fault != null) {
      callback.onFault(fault);
      return;
    }
    Map<String, StoreRecord> newest = new LinkedHashMap<>();
    for (StoreRecord record : records) {
      newest.remove(record.key());
      if (record.value() != null) {
        newest.put(record.key(), record);
      }
    }
    List<StoreRecord> after =
        newest.values().stream()
            .sorted((a, b) -> a.key().compareTo(b.key()))
            .filter(record -> record.key().compareTo(afterKey) > 0)
            .toList();
    List<StoreRecord> page = after.subList(0, Math.min(PAGE_RECORDS, after.size()));
    callback.onValue(new StorePage(page, end(), after.size() > page.size()));
  }

  @Override
  public void write(Topic topic, String key, byte[] value, StoreCallback<StorePosition> callback) {
    callback.onFault(StoreFault.REFUSED);
  }

  @Override
  public void join(
      String group,
      String member,
      int ttlMs,
      long generation,
      StoreCallback<PartitionGrant> callback) {
    joinedGenerations.add(generation);
    if (fault == null) {
      callback.onValue(grant);
    } else {
      callback.onFault(fault);
    }
  }

  @Override
  public void leave(String group, String member, long generation) {
    hasLeft = true;
  }

  @Override
  public void owner(String group, StoreCallback<String> callback) {
    callback.onValue("");
  }
}
