package org.shoreroad.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The streams of the log stand-in, in memory. Thread-safe. */
public final class LogStore {
  private final Map<String, Stream> streams = new HashMap<>();
  private final int retainedRecords;

  /**
   * One record.
   *
   * @param offset its offset
   * @param bytes its content
   */
  public record Entry(long offset, byte[] bytes) {}

  /**
   * What a read gives.
   *
   * @param earliest the earliest offset kept, or head + 1 if none
   * @param head the last offset, or 0
   * @param entries the records
   */
  public record Batch(long earliest, long head, List<Entry> entries) {}

  private static final class Stream {
    private final List<byte[]> records = new ArrayList<>();
    private long earliest = 1;

    long head() {
      return earliest + records.size() - 1;
    }
  }

  /** Creates an empty log that keeps so many records of each stream. */
  public LogStore(int retainedRecords) {
    this.retainedRecords = retainedRecords;
  }

  /** Appends records next to each other; returns the offset of the first. */
  public synchronized long append(String name, List<byte[]> records) {
    Stream stream = streams.computeIfAbsent(name, n -> new Stream());
    long first = stream.head() + 1;
    stream.records.addAll(records);
    int tooMany = stream.records.size() - retainedRecords;
    if (tooMany > 0) {
      stream.records.subList(0, tooMany).clear();
      stream.earliest += tooMany;
    }
    notifyAll();
    return first;
  }

  /** Reads from an offset; waits for a record for a time if there is none. */
  public synchronized Batch read(String name, long from, int max, long waitMs)
      throws InterruptedException {
    long endNanos = System.nanoTime() + waitMs * 1_000_000;
    Stream stream = streams.computeIfAbsent(name, n -> new Stream());
    while (stream.head() < from) {
      long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
      if (leftMs <= 0) {
        break;
      }
      wait(leftMs);
    }
    List<Entry> entries = new ArrayList<>();
    long first = Math.max(from, stream.earliest);
    for (long offset = first; offset <= stream.head() && entries.size() < max; offset++) {
      entries.add(new Entry(offset, stream.records.get(Math.toIntExact(offset - stream.earliest))));
    }
    return new Batch(stream.earliest, stream.head(), entries);
  }
}
