package org.shoreroad.edge.peer;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.msgpack.core.MessagePackException;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.limit.LimitReport;
import org.shoreroad.limit.RequestLimit;
import org.shoreroad.quarantine.Crash;
import org.shoreroad.quarantine.CrashReport;
import org.shoreroad.quarantine.PartCrash;
import org.shoreroad.quarantine.PartReport;
import org.shoreroad.quarantine.PromptPart;
import org.shoreroad.quarantine.RequestFingerprint;

/**
 * Fuzz test of the decoders of messages between processes, with random bytes and altered messages.
 * They may throw only the exceptions that the receiver handles as an unreadable message, and must
 * not allocate memory for a length that is too large.
 *
 * <p>For a long run: {@code mvn test -pl edge -am -Dtest=PeerCodecFuzzTest
 * -Djqwik.tries.default=100000}.
 */
class PeerCodecFuzzTest {
  private static final PartReport PART_REPORT =
      new PartReport(
          new PromptPart("llm", "m", "5c1e07a2"),
          List.of(new PartCrash(new Incarnation("i-1", 8), -4, 250, true)),
          true,
          250);

  private static final CrashReport REPORT =
      new CrashReport(
          new RequestFingerprint(1, 2),
          List.of(new Crash(new Incarnation("i-1", 3), true)),
          Set.of(),
          4);
  private static final LimitReport LIMIT =
      new LimitReport(new Incarnation("i-1", 3), new RequestLimit(1.2), 40);
  private static final ListUpdate LIST_UPDATE =
      new ListUpdate(
          StorePosition.of(1, 4),
          StorePosition.of(1, 9),
          0,
          0,
          List.of(new StoreRecord(StorePosition.of(1, 5), "i-7", new byte[] {1, 2, 3})));

  private static Arbitrary<byte[]> altered(byte[] message) {
    Arbitrary<Integer> at = Arbitraries.integers().between(0, message.length - 1);
    return Combinators.combine(at, Arbitraries.bytes(), at, Arbitraries.bytes())
        .as(
            (one, first, two, second) -> {
              byte[] copy = message.clone();
              copy[one] = first;
              copy[two] = second;
              return copy;
            });
  }

  private static Arbitrary<byte[]> random() {
    return Arbitraries.bytes().array(byte[].class).ofMaxSize(200);
  }

  @Provide
  Arbitrary<byte[]> heartbeats() {
    Heartbeat heartbeat = Heartbeats.of("p").withListUpdate(LIST_UPDATE);
    Heartbeat limits = Heartbeats.of("p").withLimits(List.of(LIMIT));
    HeartbeatAdditions parts = HeartbeatAdditions.NONE.withPartReports(List.of(PART_REPORT));
    return Arbitraries.oneOf(
        altered(HeartbeatCodec.toBytes(heartbeat)),
        altered(HeartbeatCodec.toBytes(limits)),
        altered(HeartbeatCodec.toBytes(Heartbeats.of("p").withAdditions(parts))),
        random());
  }

  @Provide
  Arbitrary<byte[]> notices() {
    byte[] notice = new SuspicionNotice("p", Heartbeat.Scope.HUB, Set.of("i-1")).toBytes();
    return Arbitraries.oneOf(altered(notice), random());
  }

  @Provide
  Arbitrary<byte[]> records() {
    return Arbitraries.oneOf(
        altered(QuarantineFormat.REQUESTS.toBytes(7, REPORT)),
        altered(QuarantineFormat.PARTS.toBytes(7, PART_REPORT)),
        random());
  }

  @Property
  void heartbeatDecoderThrowsOnlyHandledExceptions(@ForAll("heartbeats") byte[] bytes) {
    try {
      HeartbeatCodec.parse(bytes);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      // The receiver handles these as an unreadable message.
    }
  }

  @Property
  void noticeDecoderThrowsOnlyHandledExceptions(@ForAll("notices") byte[] bytes) {
    try {
      SuspicionNotice.parse(bytes);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      // The receiver handles these as an unreadable message.
    }
  }

  @Property
  void quarantineRecordDecoderThrowsOnlyHandledExceptions(@ForAll("records") byte[] bytes) {
    try {
      QuarantineFormat.REQUESTS.parse(bytes, 9);
    } catch (QuarantineFormat.UnreadableException e) {
      // The only exception that the registry handles.
    }
    try {
      QuarantineFormat.PARTS.parse(bytes, 9);
    } catch (QuarantineFormat.UnreadableException e) {
      // The only exception that the registry handles.
    }
  }

  @Property
  void announcementDecoderThrowsOnlyHandledExceptions(@ForAll("notices") byte[] bytes) {
    try {
      Announcement.parse(bytes);
    } catch (IllegalArgumentException e) {
      // The only exception that the registry handles.
    }
  }
}
