package org.shoreroad.edge.peer;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.IsolatingListener;
import org.shoreroad.edge.sync.Store;
import org.shoreroad.edge.sync.StoreCallback;
import org.shoreroad.edge.sync.StoreFault;
import org.shoreroad.edge.sync.StorePage;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;

/**
 * Quarantined requests or prompt parts in the store, for processes that start while no other
 * process runs.
 *
 * <p>Running processes exchange quarantines in heartbeats, so each quarantine is written to the
 * store once, by the process that started it, and each process reads the store once at its start.
 * Without the store, one request crashed 3 more upstreams after each restart of all processes
 * (three processes on loopback). Not thread-safe: for use on the event loop.
 *
 * @param <R> the type of the reports
 * @since 0.2
 */
public final class QuarantineRegistry<R> {
  /** First retry delay; doubled up to the maximum to reduce the load on an overloaded store. */
  private static final int MIN_RETRY_DELAY_MS = 500;

  private static final int MAX_RETRY_DELAY_MS = 8_000;

  private final QuarantineFormat<R> format;
  private final Store store;
  private final EventLoop loop;
  private final LongSupplier wallClockMs;
  private final EventLog log;
  private final Consumer<Collection<R>> listener;
  private final IsolatingListener records;
  private final Map<String, Written<R>> written = new LinkedHashMap<>();

  /** A record that the store has accepted. */
  private record Written<R>(R report, long writtenMs, StorePosition position) {}

  /**
   * Creates a registry; {@link #load} reads the records from the store.
   *
   * @param format the form of the records, not null
   * @param store the store, not null
   * @param loop the event loop, not null
   * @param wallClockMs the wall clock in milliseconds since 1970, not null. It determines the age
   *     of a record across restarts. If the clock was set back, a quarantine ends up to ten minutes
   *     late; if it was set forward, up to ten minutes early
   * @param log the log, not null
   * @param listener called with the reports in the store, one at a time, not null
   */
  public QuarantineRegistry(
      QuarantineFormat<R> format,
      Store store,
      EventLoop loop,
      LongSupplier wallClockMs,
      EventLog log,
      Consumer<Collection<R>> listener) {
    this.format = format;
    this.store = store;
    this.loop = loop;
    this.wallClockMs = wallClockMs;
    this.log = log;
    this.listener = listener;
    this.records = new IsolatingListener(format.topic(), this::apply, log);
  }

  /** Sets the listener that is called with each failure to apply a record. */
  public void setFailureListener(Runnable failureListener) {
    records.setFailureListener(failureListener);
  }

  /** Reads all records; retries until the store answers. */
  public void load() {
    load("", MIN_RETRY_DELAY_MS);
  }

  private void load(String afterKey, int delayMs) {
    store.readNewest(
        format.topic(),
        afterKey,
        new StoreCallback<>() {
          @Override
          public void onValue(StorePage page) {
            page.records().forEach(records::onRecord);
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

  private void apply(StoreRecord record) {
    byte[] value = record.value();
    if (value == null) {
      return;
    }
    R report;
    try {
      report = format.parse(value, wallClockMs.getAsLong());
    } catch (QuarantineFormat.UnreadableException e) {
      log.write("quarantine_record_unreadable", "key", record.key(), "why", e.getMessage());
      return;
    }
    listener.accept(List.of(report));
  }

  /** Writes a report; retries until the store accepts it. */
  public void write(R report) {
    write(format.key(report), report, wallClockMs.getAsLong(), MIN_RETRY_DELAY_MS);
  }

  private void write(String key, R report, long writtenMs, int delayMs) {
    store.write(
        format.topic(),
        key,
        format.toBytes(writtenMs, report),
        new StoreCallback<>() {
          @Override
          public void onValue(StorePosition position) {
            removeEnded();
            written.put(key, new Written<>(report, writtenMs, position));
            log.write("quarantine_written", "key", key);
          }

          @Override
          public void onFault(StoreFault fault) {
            log.write("quarantine_not_written", "key", key, "fault", fault);
            retryAfter(() -> write(key, report, writtenMs, nextDelayMs(delayMs)), delayMs);
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
                write(key, accepted.report(), accepted.writtenMs(), MIN_RETRY_DELAY_MS);
              }
            });
  }

  private void removeEnded() {
    long oldestMs = wallClockMs.getAsLong() - format.keepMs();
    written.values().removeIf(accepted -> accepted.writtenMs() < oldestMs);
  }

  private void retryAfter(Runnable task, int delayMs) {
    loop.schedule(task, delayMs, TimeUnit.MILLISECONDS);
  }

  private static int nextDelayMs(int delayMs) {
    return Math.min(MAX_RETRY_DELAY_MS, 2 * delayMs);
  }
}
