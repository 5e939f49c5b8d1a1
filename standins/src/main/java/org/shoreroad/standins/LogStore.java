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
   * A record of a stream.
   *
   * @param offset the offset in the stream
   * @param bytes the content
   */
  public record Entry(long offset, byte[] bytes) {}

  /**
   * The result of a read.
   *
   * @param earliest the earliest retained offset, or head + 1 if no record is retained
   * @param head the last offset, or 0 if nothing was appended
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

  /** Creates an empty log that retains the given number of records of each stream. */
  public LogStore(int retainedRecords) {
    this.retainedRecords = retainedRecords;
  }

  /** Appends records at consecutive offsets and returns the offset of the first. */
  public synchronized long append(String name, List<byte[]> records) {
    Stream stream = streams.computeIfAbsent(name, n -> new Stream());
    long first = stream.head() + 1;
    stream.records.addAll(records);
    int excess = stream.records.size() - retainedRecords;
    if (excess > 0) {
      stream.records.subList(0, excess).clear();
      stream.earliest += excess;
    }
    notifyAll();
    return first;
  }

  /** Reads at most {@code max} records from an offset; waits up to {@code waitMs} for the first. */
  public synchronized Batch read(String name, long from, int max, long waitMs)
      throws InterruptedException {
    long endNanos = System.nanoTime() + waitMs * 1_000_000;
    Stream stream = streams.computeIfAbsent(name, n -> new Stream());
    while (stream.head() < from) {
      long remainingMs = (endNanos - System.nanoTime()) / 1_000_000;
      if (remainingMs <= 0) {
        break;
      }
      wait(remainingMs);
    }
    List<Entry> entries = new ArrayList<>();
    long first = Math.max(from, stream.earliest);
    for (long offset = first; offset <= stream.head() && entries.size() < max; offset++) {
      entries.add(new Entry(offset, stream.records.get(Math.toIntExact(offset - stream.earliest))));
    }
    return new Batch(stream.earliest, stream.head(), entries);
  }
}
