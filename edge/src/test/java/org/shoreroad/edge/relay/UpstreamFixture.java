package org.shoreroad.edge.relay;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.peer.Heartbeats;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.fleet.ReplicaId;
import org.shoreroad.traffic.UpstreamService;

/** Fixture with a fleet and the table, the selector and the stall detector that use it. */
abstract class UpstreamFixture {
  static final int SLOTS = 4;
  static final int TARGET_MS = 500;
  static final String MEMBER_OF = "member of ";
  private static final EngineSpec ENGINE =
      new EngineSpec(
          SLOTS,
          1_000,
          6,
          0.3,
          0,
          46_000,
          2_048,
          5,
          4,
          6,
          200,
          List.of(new ModelShape("m", 2, 1, 1, 16, 1.6)));
  static final UpstreamService LLM = new UpstreamService("llm", 100, ENGINE);
  static final UpstreamService WEB = new UpstreamService("web", 100, null);

  long nowNanos = TimeUnit.HOURS.toNanos(1);
  private long offset;
  final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  final Fleet fleet = new Fleet(UpstreamFixture::decode, () -> nowNanos, log);
  final UpstreamTable table = new UpstreamTable(fleet, () -> nowNanos, log);
  final Backpressure backpressure =
      new Backpressure("p", LoopbackRelay.NAMES, () -> nowNanos, log, new EdgeMetrics());
  final UpstreamSelector selector =
      new UpstreamSelector(table, backpressure, () -> nowNanos, new SplittableRandom(3), "z");
  final StallDetector stalls = new StallDetector(table, () -> nowNanos, log);

  /** Returns the zone in an id such as {@code i-1@y}, else the usual one. */
  private static String zoneOf(String id) {
    return id.contains("@") ? id.substring(id.indexOf('@') + 1) : "z";
  }

  /**
   * Decodes "web" (a plain upstream), "leaving" (a leaving head), "FORMING" (a head that joins a
   * replica of model "m"), the state of a head, or "member of" and the id of a head.
   */
  private static FleetBox decode(String id, byte[] entry) {
    String text = new String(entry, StandardCharsets.UTF_8);
    boolean isLeaving = text.equals("leaving");
    if (text.equals("web")) {
      return new FleetBox(
          id, "web", "h-" + id + ":1", zoneOf(id), 6, false, null, null, List.of(), null);
    }
    if (text.equals("FORMING")) {
      FleetBox box =
          new FleetBox(
              id, "llm", "h-" + id + ":1", zoneOf(id), SLOTS, false, "d", null, List.of(), null);
      ReplicaId replica = ReplicaId.of("d", "m", 1, box);
      return box.withEngineState(null, List.of(), new Membership(replica, 0, MemberState.JOINING));
    }
    boolean isMember = text.startsWith(MEMBER_OF);
    String headId = isMember ? text.substring(MEMBER_OF.length()) : id;
    MemberState state = isLeaving || isMember ? MemberState.OPEN : MemberState.valueOf(text);
    return new FleetBox(
        id,
        "llm",
        "h-" + id + ":1",
        zoneOf(id),
        SLOTS,
        isLeaving,
        "d",
        "m",
        List.of(),
        new Membership(new ReplicaId("r-" + headId, 1), isMember ? 1 : 0, state));
  }

  final void list(String id, @Nullable String entry) {
    byte[] bytes = entry == null ? null : entry.getBytes(StandardCharsets.UTF_8);
    fleet.onRecord(new StoreRecord(StorePosition.of(1, offset++), id, bytes));
  }

  final @Nullable String choose(Set<String> tried) {
    return selector.choose(LLM, "m", tried, TARGET_MS).map(t -> t.box().id()).orElse(null);
  }

  final void setPeerLoad(String id, int open, long waitingTokens, int ageMs) {
    Heartbeat.Load load = new Heartbeat.Load(id, open, waitingTokens, ageMs);
    table.setPeerLoads(Map.of(heartbeatWith(List.of(load)), nowNanos));
  }

  static Heartbeat heartbeatWith(List<Heartbeat.Load> loads) {
    return Heartbeats.of("p").withLoads(loads);
  }
}
