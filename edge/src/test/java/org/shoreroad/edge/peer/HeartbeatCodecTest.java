package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ModelTraffic;
import org.shoreroad.fleet.ReplicaId;
import org.shoreroad.limit.LimitReport;
import org.shoreroad.limit.RequestLimit;
import org.shoreroad.quarantine.Crash;
import org.shoreroad.quarantine.CrashReport;
import org.shoreroad.quarantine.PartCrash;
import org.shoreroad.quarantine.PartReport;
import org.shoreroad.quarantine.PromptPart;
import org.shoreroad.quarantine.RequestFingerprint;

class HeartbeatCodecTest {
  private final Heartbeat heartbeat =
      new Heartbeat(
          "node-1~a",
          17,
          -4,
          Heartbeat.Scope.HUB,
          7,
          StorePosition.of(3, 9),
          14,
          1_000_000,
          List.of(new Heartbeat.Load("i-1", 3, 4_000, 12)),
          Set.of("i-2"),
          Map.of("i-3", "10.0.0.1:80"),
          Set.of("i-4"),
          Set.of("llm/d-1"),
          List.of(
              new FleetBox(
                      "i-5",
                      "s",
                      "10.0.0.2:80",
                      "z",
                      18,
                      true,
                      "d",
                      "m",
                      List.of("n"),
                      new Membership(new ReplicaId("r", 5), 1, MemberState.READY))
                  .withStart(1_773_212_140_000L),
              new FleetBox("i-6", "s", "h:1", "z", 6, false, null, null, List.of(), null)),
          new ListUpdate(
              StorePosition.of(1, 4),
              StorePosition.of(1, 9),
              1_000,
              2_000,
              List.of(new StoreRecord(StorePosition.of(1, 5), "i-7", null))),
          List.of(
              new CrashReport(
                  new RequestFingerprint(-1, 7),
                  List.of(
                      new Crash(new Incarnation("i-8", 1_773_212_146_318L), true),
                      new Crash(new Incarnation("i-9", 0), false)),
                  Set.of(new Incarnation("i-9", 0)),
                  1_500)),
          List.of(
              new LimitReport(new Incarnation("i-10", 5), new RequestLimit(1.2), 40),
              new LimitReport(new Incarnation("i-11", 0), null, 2_000)),
          new HeartbeatAdditions(
              Map.of("i-1", 2),
              Map.of("llm/d-1", new HeartbeatAdditions.RoomOwner("node-2~b", "10.0.0.3:81")),
              List.of(new ModelTraffic("llm", "m", "z", 9, 2, 1, 6_000)),
              List.of(new HeartbeatAdditions.ColdReport(new Incarnation("i-12", 6), 700)),
              List.of(new HeartbeatAdditions.Evacuation("z", true, StorePosition.of(3, 11))),
              List.of(
                  new PartReport(
                      new PromptPart("llm", "m", "5c1e07a2"),
                      List.of(new PartCrash(new Incarnation("i-13", 8), -4, 250, true)),
                      false,
                      250))));

  @Test
  void parseReadsWhatToBytesWrites() throws IOException {
    assertThat(HeartbeatCodec.parse(HeartbeatCodec.toBytes(heartbeat)), is(heartbeat));
  }

  @Test
  void valuesOfListRecordsAreRead() throws IOException {
    byte[] value = {1, 2, 3};
    ListUpdate update =
        new ListUpdate(
            StorePosition.of(1, 4),
            StorePosition.of(1, 9),
            0,
            0,
            List.of(new StoreRecord(StorePosition.of(1, 5), "i-7", value)));
    Heartbeat read =
        HeartbeatCodec.parse(HeartbeatCodec.toBytes(Heartbeats.of("p").withListUpdate(update)));
    assertThat(read.listUpdate().records().get(0).value(), is(value));
  }

  /** A length that exceeds the frame must be rejected before memory is allocated for it. */
  @Test
  void lengthBeyondFrameIsRejectedBeforeAllocation() {
    ListUpdate update =
        new ListUpdate(
            StorePosition.of(1, 4),
            StorePosition.of(1, 9),
            0,
            0,
            List.of(new StoreRecord(StorePosition.of(1, 5), "i-7", new byte[] {7})));
    byte[] bytes = HeartbeatCodec.toBytes(Heartbeats.of("p").withListUpdate(update));
    ByteBuffer oversized = ByteBuffer.allocate(bytes.length + 3);
    int header = indexOfBinary(bytes);
    oversized.put(bytes, 0, header).put((byte) 0xc6).putInt(Integer.MAX_VALUE);
    oversized.put(bytes, header + 2, bytes.length - header - 2);
    assertThrows(IOException.class, () -> HeartbeatCodec.parse(oversized.array()));
  }

  private static int indexOfBinary(byte[] bytes) {
    for (int i = 0; i + 2 < bytes.length; i++) {
      if (bytes[i] == (byte) 0xc4 && bytes[i + 1] == 1 && bytes[i + 2] == 7) {
        return i;
      }
    }
    throw new IllegalStateException("no value in the heartbeat");
  }

  /** Guards the heartbeat size: at most 48 reports each, sent to each peer every 200 ms. */
  @Test
  void crashReportIsAtMost95Bytes() throws IOException {
    List<Crash> crashes = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      crashes.add(new Crash(new Incarnation("i-872fd2b5b" + i, 1_773_212_146_318L), true));
    }
    RequestFingerprint request = new RequestFingerprint(Long.MIN_VALUE, Long.MAX_VALUE);
    CrashReport report = new CrashReport(request, crashes, Set.of(), 9_000);
    MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
    CrashReportCodec.pack(out, List.of(report));
    assertThat(out.toByteArray().length, lessThanOrEqualTo(95));
  }

  /** Guards the heartbeat size: at most 32 parts each. */
  @Test
  void partReportWithThreeCrashesIsAtMost150Bytes() throws IOException {
    List<PartCrash> crashes = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Incarnation upstream = new Incarnation("i-872fd2b5b" + i, 1_773_212_146_318L);
      crashes.add(new PartCrash(upstream, Long.MIN_VALUE, 90_000, false));
    }
    PromptPart part = new PromptPart("modelpool", "pugo57d7e1", "5c1e07a2");
    MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
    PartReportCodec.pack(out, List.of(new PartReport(part, crashes, true, 90_000)));
    assertThat(out.toByteArray().length, lessThanOrEqualTo(150));
  }

  /** Guards the heartbeat size: at most 64 limits each. */
  @Test
  void limitReportIsAtMost36Bytes() throws IOException {
    Incarnation upstream = new Incarnation("i-872fd2b5b0", 1_773_212_146_318L);
    LimitReport report = new LimitReport(upstream, new RequestLimit(1.2), 2_000);
    MessageBufferPacker out = MessagePack.newDefaultBufferPacker();
    LimitReportCodec.pack(out, List.of(report));
    assertThat(out.toByteArray().length, lessThanOrEqualTo(36));
  }

  /**
   * Truncated bytes are rejected except at five lengths, where they are a complete heartbeat of an
   * earlier release. Frames carry their length, so a truncated heartbeat is not received as one.
   */
  @Test
  void truncatedBytesAreRejectedOrOfAnEarlierRelease() throws IOException {
    byte[] whole = HeartbeatCodec.toBytes(heartbeat);
    List<Heartbeat> read = new ArrayList<>();
    for (int length = 0; length < whole.length; length++) {
      byte[] truncated = Arrays.copyOf(whole, length);
      try {
        read.add(HeartbeatCodec.parse(truncated));
      } catch (IOException | MessagePackException | IllegalArgumentException e) {
        assertThat(truncated.length < whole.length, is(true));
      }
    }
    assertThat(read.size(), is(5));
    Heartbeat withoutStartTimes = read.get(0);
    assertThat(withoutStartTimes.crashReports(), is(List.of()));
    assertThat(withoutStartTimes.reports().get(0).bornMs(), is(Incarnation.UNKNOWN_START));
    Heartbeat withoutEras = read.get(1);
    assertThat(withoutEras.crashReports(), is(heartbeat.crashReports()));
    assertThat(withoutEras.reports(), is(heartbeat.reports()));
    Heartbeat withoutLimits = read.get(2);
    assertThat(withoutLimits.configNext(), is(heartbeat.configNext()));
    assertThat(withoutLimits.configVersion(), is(heartbeat.configVersion()));
    assertThat(withoutLimits.limitReports(), is(List.of()));
    Heartbeat withoutAdditions = read.get(3);
    assertThat(withoutAdditions.limitReports(), is(heartbeat.limitReports()));
    assertThat(withoutAdditions.additions(), is(HeartbeatAdditions.NONE));
    HeartbeatAdditions withoutParts = read.get(4).additions();
    assertThat(withoutParts, is(heartbeat.additions().withPartReports(List.of())));
    for (Heartbeat earlier : List.of(withoutStartTimes, withoutEras)) {
      assertThat(earlier.configNext(), is(StorePosition.of(StorePosition.UNKNOWN_ERA, 9)));
      assertThat(earlier.configVersion(), is(Heartbeat.NO_CONFIG));
      assertThat(
          earlier.listUpdate(), is(heartbeat.listUpdate().withEra(StorePosition.UNKNOWN_ERA)));
      assertThat(earlier.loads(), is(heartbeat.loads()));
    }
  }
}
