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
 * The quarantined requests in the store, for processes that start when no other one runs.
 *
 * <p>Running processes tell each other in heartbeats, so the store is written once for each
 * quarantine, by the process that began it, and read once by each process at its start. Without it
 * one request ended 3 upstreams more after each end of all processes (three processes on loopback,
 * two runs). Used on the event loop.
 *
 * @since 0.2
 */
public final class QuarantineRegistry {
  /** The first pause after a fault; doubled up to the longest, so that a store in need rests. */
  private static final int SHORTEST_PAUSE_MS = 500;

  private static final int LONGEST_PAUSE_MS = 8_000;

  /** A quarantine ends after ten minutes without the request. */
  private static final long LASTING_MS = TimeUnit.MINUTES.toMillis(10);

  private final Store store;
  private final EventLoop loop;
  private final LongSupplier timeOfDayMs;
  private final EventLog log;
  private final Consumer<Collection<CrashReport>> listener;
  private final Map<String, Written> written = new LinkedHashMap<>();

  /** A record that the store has taken. */
  private record Written(QuarantineRecord record, StorePosition position) {}

  /**
   * Creates a registry; {@link #load} reads what the store holds.
   *
   * @param store the store, not null
   * @param loop the event loop, not null
   * @param timeOfDayMs the time of day in milliseconds since 1970, not null. It tells the age of a
   *     record over restarts. Where it was set back, a quarantine ends up to ten minutes late;
   *     where it was set ahead, as much too early
   * @param log the log, not null
   * @param listener takes the quarantined requests of the store, not null
   */
  public QuarantineRegistry(
      Store store,
      EventLoop loop,
      LongSupplier timeOfDayMs,
      EventLog log,
      Consumer<Collection<CrashReport>> listener) {
    this.store = store;
    this.loop = loop;
    this.timeOfDayMs = timeOfDayMs;
    this.log = log;
    this.listener = listener;
  }

  /** Reads all records, again and again until the store has answered. */
  public void load() {
    load("", SHORTEST_PAUSE_MS);
  }

  private void load(String afterKey, int pauseMs) {
    store.readNewest(
        Topic.QUARANTINE,
        afterKey,
        new StoreCallback<>() {
          @Override
          public void onValue(StorePage page) {
            learn(page.records());
            if (page.hasMore() && !page.records().isEmpty()) {
              load(page.records().get(page.records().size() - 1).key(), SHORTEST_PAUSE_MS);
            }
          }

          @Override
          public void onFault(StoreFault fault) {
            log.write("quarantine_not_read", "fault", fault);
            again(() -> load(afterKey, longer(pauseMs)), pauseMs);
          }
        });
  }

  private void learn(List<StoreRecord> records) {
    List<CrashReport> reports = new ArrayList<>();
    for (StoreRecord record : records) {
      byte[] value = record.value();
      try {
        if (value != null) {
          reports.add(QuarantineRecord.parse(value).toReport(timeOfDayMs.getAsLong()));
        }
      } catch (QuarantineRecord.UnreadableException e) {
        log.write("quarantine_record_unreadable", "key", record.key(), "why", e.getMessage());
      }
    }
    listener.accept(reports);
  }

  /** Writes a quarantined request, again and again until the store has taken it. */
  public void write(CrashReport report) {
    QuarantineRecord record = new QuarantineRecord(timeOfDayMs.getAsLong(), report);
    write(report.fingerprint().toString(), record, SHORTEST_PAUSE_MS);
  }

  private void write(String key, QuarantineRecord record, int pauseMs) {
    store.write(
        Topic.QUARANTINE,
        key,
        record.toBytes(),
        new StoreCallback<>() {
          @Override
          public void onValue(StorePosition position) {
            forgetEnded();
            written.put(key, new Written(record, position));
            log.write("quarantine_written", "fingerprint", key);
          }

          @Override
          public void onFault(StoreFault fault) {
            log.write("quarantine_not_written", "fingerprint", key, "fault", fault);
            again(() -> write(key, record, longer(pauseMs)), pauseMs);
          }
        });
  }

  /**
   * Writes the records again that this process wrote in an earlier era: the store came back from an
   * older copy, which may lack them. Quarantines are few, so they are not looked for in the copy.
   *
   * @param era the new era of the store
   */
  public void writeAgain(long era) {
    forgetEnded();
    Map.copyOf(written)
        .forEach(
            (key, taken) -> {
              if (taken.position().era() < era) {
                write(key, taken.record(), SHORTEST_PAUSE_MS);
              }
            });
  }

  private void forgetEnded() {
    long oldestMs = timeOfDayMs.getAsLong() - LASTING_MS;
    written.values().removeIf(taken -> taken.record().writtenMs() < oldestMs);
  }

  private void again(Runnable task, int pauseMs) {
    loop.schedule(task, pauseMs, TimeUnit.MILLISECONDS);
  }

  private static int longer(int pauseMs) {
    return Math.min(LONGEST_PAUSE_MS, 2 * pauseMs);
  }
}
