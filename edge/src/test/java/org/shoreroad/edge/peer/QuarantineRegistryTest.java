package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.Store;
import org.shoreroad.edge.sync.StoreCallback;
import org.shoreroad.edge.sync.StoreFault;
import org.shoreroad.edge.sync.StorePage;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.edge.sync.Topic;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.quarantine.Crash;
import org.shoreroad.quarantine.CrashReport;
import org.shoreroad.quarantine.PartCrash;
import org.shoreroad.quarantine.PartReport;
import org.shoreroad.quarantine.PromptPart;
import org.shoreroad.quarantine.RequestFingerprint;

class QuarantineRegistryTest {
  private static final int PAGE_RECORDS = 2;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final FakeTopic store = new FakeTopic();
  private final List<CrashReport> delivered = new ArrayList<>();
  private long nowMs = 1_773_212_146_318L;
  private final QuarantineRegistry<CrashReport> registry =
      new QuarantineRegistry<>(
          QuarantineFormat.REQUESTS,
          store,
          channel.eventLoop(),
          () -> nowMs,
          new EventLog("test", System::nanoTime, OutputStream.nullOutputStream()),
          delivered::addAll);

  /** A keyed topic in memory that fails the next {@link #faults} calls. */
  private static final class FakeTopic implements Store {
    private long era = 1;
    private final Map<String, byte[]> values = new TreeMap<>();
    private int faults;
    private int calls;

    private boolean fails(StoreCallback<?> callback) {
      calls++;
      if (faults == 0) {
        return false;
      }
      faults--;
      callback.onFault(StoreFault.REFUSED);
      return true;
    }

    @Override
    public void read(Topic topic, long from, int waitMs, StoreCallback<StorePage> callback) {
      throw new UnsupportedOperationException("the registry does not follow its topic");
    }

    @Override
    public void readNewest(Topic topic, String afterKey, StoreCallback<StorePage> callback) {
      if (fails(callback)) {
        return;
      }
      List<StoreRecord> after =
          values.entrySet().stream()
              .filter(entry -> entry.getKey().compareTo(afterKey) > 0)
              .map(
                  entry ->
                      new StoreRecord(StorePosition.of(1, 0), entry.getKey(), entry.getValue()))
              .toList();
      int count = Math.min(PAGE_RECORDS, after.size());
      callback.onValue(
          new StorePage(after.subList(0, count), StorePosition.of(1, 0), after.size() > count));
    }

    @Override
    public void write(
        Topic topic, String key, byte[] value, StoreCallback<StorePosition> callback) {
      if (!fails(callback)) {
        values.put(key, value);
        callback.onValue(StorePosition.of(era, 0));
      }
    }
  }

  private static CrashReport report(int number) {
    Crash crash = new Crash(new Incarnation("i-1", 5), true);
    return new CrashReport(new RequestFingerprint(number, 0), List.of(crash), Set.of(), 0);
  }

  private void advanceMs(int millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  @Test
  void loadReadsAllPagesWithTheAgeOfRecords() {
    for (int i = 0; i < 5; i++) {
      registry.write(report(i));
    }
    nowMs += 7_000;
    registry.load();
    assertThat(delivered.size(), is(5));
    assertThat(delivered.get(0).idleMs(), is(7_000L));
    assertThat(delivered.get(0).crashes(), is(report(0).crashes()));
  }

  @Test
  void ageIsNotNegativeAfterTheClockWasSetBack() {
    registry.write(report(1));
    nowMs -= 60_000;
    registry.load();
    assertThat(delivered.get(0).idleMs(), is(0L));
  }

  @Test
  void retryDelayDoublesAfterEachFault() {
    store.faults = 4;
    registry.write(report(1));
    advanceMs(500);
    advanceMs(1_000);
    advanceMs(1_999);
    assertThat(store.calls, is(3));
    advanceMs(1);
    advanceMs(4_000);
    assertThat(store.values.size(), is(1));
    store.faults = 1;
    registry.load();
    assertThat(delivered, empty());
    advanceMs(500);
    assertThat(delivered.size(), is(1));
  }

  /** The store accepted the records and was then restored from a copy without them. */
  @Test
  void ownRecordsAreRewrittenOnceInANewEra() {
    registry.write(report(1));
    nowMs += 5 * 60_000;
    registry.write(report(2));
    store.values.clear();
    store.era = 2;
    int calls = store.calls;
    registry.writeAgain(2);
    registry.writeAgain(2);
    assertThat(store.values.size(), is(2));
    assertThat(store.calls, is(calls + 2));
    nowMs += 6 * 60_000;
    store.values.clear();
    registry.writeAgain(3);
    assertThat(store.values.size(), is(1));
  }

  @Test
  void promptPartsAreReadWithTheirAge() {
    List<PartReport> parts = new ArrayList<>();
    QuarantineRegistry<PartReport> partRegistry =
        new QuarantineRegistry<>(
            QuarantineFormat.PARTS,
            store,
            channel.eventLoop(),
            () -> nowMs,
            new EventLog("test", System::nanoTime, OutputStream.nullOutputStream()),
            parts::addAll);
    PartCrash crash = new PartCrash(new Incarnation("i-1", 4), -9, 300, false);
    PromptPart part = new PromptPart("pool", "large", "a?&=/ b".repeat(9));
    partRegistry.write(new PartReport(part, List.of(crash), true, 200));
    nowMs += 7_000;
    partRegistry.load();
    PartCrash aged = new PartCrash(crash.upstream(), crash.request(), 7_300, false);
    assertThat(parts, is(List.of(new PartReport(part, List.of(aged), true, 7_200))));
    assertThat(store.values.keySet().iterator().next().length(), is(32));
  }

  @Test
  void unreadableRecordIsSkipped() {
    registry.write(report(1));
    store.values.put("0", new byte[] {1, 2, 3});
    store.values.put("1", new byte[0]);
    store.values.put("2", new byte[] {(byte) 0xdd, 0x7f, 0x7f, 0x7f, 0x7f});
    registry.load();
    assertThat(delivered.size(), is(1));
  }

  /** Guards against one record that keeps a process from reading the records after it. */
  @Test
  void recordWhoseReportFailsAffectsNoOther() {
    List<CrashReport> applied = new ArrayList<>();
    QuarantineRegistry<CrashReport> failing =
        new QuarantineRegistry<>(
            QuarantineFormat.REQUESTS,
            store,
            channel.eventLoop(),
            () -> nowMs,
            new EventLog("test", System::nanoTime, OutputStream.nullOutputStream()),
            reports -> {
              if (reports.contains(report(1))) {
                throw new IllegalStateException("odd");
              }
              applied.addAll(reports);
            });
    for (int i = 0; i < 5; i++) {
      registry.write(report(i));
    }
    AtomicInteger failures = new AtomicInteger();
    failing.setFailureListener(failures::incrementAndGet);
    failing.load();
    assertThat(applied, is(List.of(report(0), report(2), report(3), report(4))));
    assertThat(failures.get(), is(1));
  }

  /** Guards against texts of other writers that make heartbeats larger than the maximum. */
  @Test
  void recordsWithLongTextsAreSkipped() {
    String longText = "x".repeat(250_000);
    PartReport part = new PartReport(new PromptPart("s", "m", longText), List.of(), true, 0);
    Crash crash = new Crash(new Incarnation(longText, 5), true);
    CrashReport request =
        new CrashReport(new RequestFingerprint(1, 0), List.of(crash), Set.of(), 0);
    byte[] partRecord = QuarantineFormat.PARTS.toBytes(nowMs, part);
    byte[] requestRecord = QuarantineFormat.REQUESTS.toBytes(nowMs, request);
    assertThrows(
        QuarantineFormat.UnreadableException.class,
        () -> QuarantineFormat.PARTS.parse(partRecord, nowMs));
    assertThrows(
        QuarantineFormat.UnreadableException.class,
        () -> QuarantineFormat.REQUESTS.parse(requestRecord, nowMs));
  }
}
