package org.shoreroad.edge.peer;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.Store;
import org.shoreroad.edge.sync.StoreCallback;
import org.shoreroad.edge.sync.StoreFault;
import org.shoreroad.edge.sync.StorePage;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.edge.sync.Topic;
import org.shoreroad.quarantine.CrashReport;

/**
 * Quarantined requests in the store, for processes that start while no other process runs.
 *
 * <p>Running processes exchange quarantines in heartbeats, so each quarantine is written to the
 * store once, by the process that started it, and each process reads the store once at its start.
 * Without the store, one request crashed 3 more upstreams after each restart of all processes
 * (three processes on loopback). Not thread-safe: for use on the event loop.
 *
 * @since 0.2
 */
public final class QuarantineRegistry {
  /** First retry delay; doubled up to the maximum to reduce the load on an overloaded store. */
  private static final int MIN_RETRY_DELAY_MS = 500;

  private static final int MAX_RETRY_DELAY_MS = 8_000;

  /** Time without the request after which its quarantine ends. */
  private static final long QUARANTINE_MS = TimeUnit.MINUTES.toMillis(10);

  private final Store store;
  private final EventLoop loop;
  private final LongSupplier wallClockMs;
  private final EventLog log;
  private final Consumer<Collection<CrashReport>> listener;
  private final Map<String, Written> written = new LinkedHashMap<>();

  /** A record that the store has accepted. */
  private record Written(QuarantineRecord record, StorePosition position) {}

  /**
   * Creates a registry; {@link #load} reads the records from the store.
   *
   * @param store the store, not null
   * @param loop the event loop, not null
   * @param wallClockMs the wall clock in milliseconds since 1970, not null. It determines the age
   *     of a record across restarts. If the clock was set back, a quarantine ends up to ten minutes
   *     late; if it was set forward, up to ten minutes early
   * @param log the log, not null
   * @param listener called with the quarantined requests of the store, not null
   */
  public QuarantineRegistry(
      Store store,
      EventLoop loop,
      LongSupplier wallClockMs,
      EventLog log,
      Consumer<Collection<CrashReport>> listener) {
    this.store = store;
    this.loop = loop;
    this.wallClockMs = wallClockMs;
    this.log = log;
    this.listener = listener;
  }

  /** Reads all records; retries until the store answers. */
  public void load() {
    load("", MIN_RETRY_DELAY_MS);
  }

  private void load(String afterKey, int delayMs) {
    store.readNewest(
        Topic.QUARANTINE,
        afterKey,
        new StoreCallback<>() {
          @Override
          public void onValue(StorePage page) {
            deliver(page.records());
            if (page.hasMore() && !page.records().isEmpty()) {
              load(page.records().get(page.records().size() - 1).key(), MIN_RETRY_DELAY_MS);
            }
          }

          @Override
          public void onFault(StoreFault fault) {
            log.write("quarantine_not_read", "fault", fault);
            retryAfter(() -> load(afterKey, nextDelayMs(delayMs)), delayMs);
          }
        });
  }

  private void deliver(List<StoreRecord> records) {
    List<CrashReport> reports = new ArrayList<>();
    for (StoreRecord record : records) {
      byte[] value = record.value();
      try {
        if (value != null) {
          reports.add(QuarantineRecord.parse(value).toReport(wallClockMs.getAsLong()));
        }
      } catch (QuarantineRecord.UnreadableException e) {
        log.write("quarantine_record_unreadable", "key", record.key(), "why", e.getMessage());
      }
    }
    listener.accept(reports);
  }

  /** Writes a quarantined request; retries until the store accepts it. */
  public void write(CrashReport report) {
    QuarantineRecord record = new QuarantineRecord(wallClockMs.getAsLong(), report);
    write(report.fingerprint().toString(), record, MIN_RETRY_DELAY_MS);
  }

  private void write(String key, QuarantineRecord record, int delayMs) {
    store.write(
        Topic.QUARANTINE,
        key,
        record.toBytes(),
        new StoreCallback<>() {
          @Override
          public void onValue(StorePosition position) {
            removeEnded();
            written.put(key, new Written(record, position));
            log.write("quarantine_written", "fingerprint", key);
          }

          @Override
          public void onFault(StoreFault fault) {
            log.write("quarantine_not_written", "fingerprint", key, "fault", fault);
            retryAfter(() -> write(key, record, nextDelayMs(delayMs)), delayMs);
          }
        });
  }

  /**
   * Rewrites the records that this process wrote in an earlier era: the store was restored from an
   * older copy, which may lack them. Quarantines are few, so the copy is not searched for them.
   *
   * @param era the new era of the store
   */
  public void writeAgain(long era) {
    removeEnded();
    Map.copyOf(written)
        .forEach(
            (key, accepted) -> {
              if (accepted.position().era() < era) {
                write(key, accepted.record(), MIN_RETRY_DELAY_MS);
              }
            });
  }

  private void removeEnded() {
    long oldestMs = wallClockMs.getAsLong() - QUARANTINE_MS;
    written.values().removeIf(accepted -> accepted.record().writtenMs() < oldestMs);
  }

  private void retryAfter(Runnable task, int delayMs) {
    loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
  }

  private static int nextDelayMs(int delayMs) {
    return Math.min(MAX_RETRY_DELAY_MS, 2 * delayMs);
  }
}
