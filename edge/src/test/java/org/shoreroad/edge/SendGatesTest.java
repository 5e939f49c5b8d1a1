package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.peer.HeartbeatAdditions;
import org.shoreroad.edge.sync.EntryDecoder;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.traffic.CallerLimits;
import org.shoreroad.traffic.ColdStart;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/** Records of the store and heartbeats between processes, as they reach the gates. */
class SendGatesTest {
  private static final int COLD_PER_SECOND = 3;
  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private final Process first = new Process("front-1~a");
  private final Process second = new Process("front-2~b");

  /** Decodes an entry with the remaining time of the coldness as its text. */
  private static final class Decoder implements EntryDecoder {
    @Override
    public FleetBox decode(String id, byte[] entry) {
      return new FleetBox(id, "web", id + ":1", "z", 6, false, null, null, List.of(), null);
    }

    @Override
    public long coldRemainingMs(String id, byte[] entry) {
      return Long.parseLong(new String(entry, StandardCharsets.UTF_8));
    }
  }

  private static final class ConfigDecoder implements ConfigurationView.Decoder {
    @Override
    public boolean isConfiguration(String key) {
      return key.equals("config");
    }

    @Override
    public TrafficConfig decode(byte[] value, Consumer<IgnoredValue> ignoredValues) {
      return TrafficConfig.of(
          1,
          List.of(),
          List.of(new UpstreamService("web", 9, null, new ColdStart(3, COLD_PER_SECOND))),
          null,
          CallerLimits.DEFAULT);
    }

    @Override
    public @Nullable String evacuatedZone(String key) {
      return key.startsWith("gone/") ? key.substring("gone/".length()) : null;
    }
  }

  /** The parts of one process that the gates are connected to. */
  private final class Process {
    private final Fleet fleet = new Fleet(new Decoder(), () -> nowNanos, log);
    private final ConfigurationView configuration;
    private final SendGates gates;

    Process(String name) {
      ElapsedClock elapsed = new ElapsedClock(() -> nowNanos, () -> nowNanos / 1_000_000);
      configuration =
          new ConfigurationView(new ConfigDecoder(), () -> nowNanos, elapsed, log, 5_000, true);
      gates =
          new SendGates(
              name, fleet, new Decoder(), configuration, () -> nowNanos, log, new EdgeMetrics());
      receive("config", 0, "1");
      list("i-1", "0");
    }

    private void receive(String key, long offset, @Nullable String value) {
      configuration.onRecord(record(key, offset, value));
    }

    private void list(String id, String remainingMs) {
      gates.onRecord(record(id, 1, remainingMs));
    }

    private boolean hasTurn() {
      return gates.coldGate().hasTurn(fleet.find("i-1"));
    }

    private boolean isEvacuated() {
      return gates.evacuations().isEvacuated("z");
    }
  }

  private static StoreRecord record(String key, long offset, @Nullable String value) {
    byte[] bytes = value == null ? null : value.getBytes(StandardCharsets.UTF_8);
    return new StoreRecord(StorePosition.of(1, offset), key, bytes);
  }

  private static void sendHeartbeat(Process from, Process to) {
    to.gates.apply(from.gates.addTo(HeartbeatAdditions.NONE));
  }

  @Test
  void aProcessWithoutTheStoreLearnsOfEvacuationAndWithdrawalFromHeartbeats() {
    first.receive("gone/z", 4, "{}");
    assertThat(first.isEvacuated(), is(true));
    sendHeartbeat(first, second);
    assertThat(second.isEvacuated(), is(true));
    first.receive("gone/z", 9, null);
    sendHeartbeat(second, first);
    assertThat("older than the withdrawal", first.isEvacuated(), is(false));
    sendHeartbeat(first, second);
    assertThat(second.isEvacuated(), is(false));
    assertThat("returned", second.gates.coldGate().coldCount(), is(1));
  }

  @Test
  void aListingWithoutTheKeyWithdraws() {
    first.receive("gone/z", 4, "{}");
    first.configuration.onListed(Set.of("config", "gone/z"), StorePosition.of(1, 5));
    assertThat(first.isEvacuated(), is(true));
    first.configuration.onListed(Set.of("config"), StorePosition.of(1, 8));
    assertThat(first.isEvacuated(), is(false));
  }

  @Test
  void anEvacuationWithdrawnHalfWayLeavesNothingClosed() {
    first.receive("gone/z", 4, "{}");
    first.receive("gone/z", 5, null);
    sendHeartbeat(first, second);
    assertThat(second.isEvacuated(), is(false));
    assertThat(first.gates.coldGate().coldCount(), is(1));
  }

  @Test
  void coldnessOfAnEntryReachesProcessesThatDoNotReadTheList() {
    first.list("i-1", "2000");
    assertThat(second.gates.coldGate().coldCount(), is(0));
    sendHeartbeat(first, second);
    assertThat(second.gates.coldGate().coldCount(), is(1));
    nowNanos += TimeUnit.MILLISECONDS.toNanos(1_500);
    sendHeartbeat(second, first);
    nowNanos += TimeUnit.MILLISECONDS.toNanos(600);
    assertThat("not extended", first.gates.coldGate().coldCount(), is(0));
  }

  @Test
  void theNodesShareTheRateWhateverTheirIncarnations() {
    Set<String> processes = new HashSet<>();
    for (int i = 1; i <= 9; i++) {
      processes.add("front-" + i + "~old");
    }
    int holders = 0;
    for (int i = 1; i <= 9; i++) {
      Process process = new Process("front-" + i + "~new");
      process.gates.update(processes, false, true);
      process.list("i-1", "60000");
      nowNanos += TimeUnit.SECONDS.toNanos(5);
      assertThat("unknown others", process.hasTurn(), is(false));
      process.gates.update(processes, true, true);
      nowNanos += TimeUnit.SECONDS.toNanos(5);
      holders += process.hasTurn() ? 1 : 0;
    }
    assertThat(holders, is(COLD_PER_SECOND));
  }
}
