package org.shoreroad.edge.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.shoreroad.codec.BinaryValue;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ReplicaId;
import org.shoreroad.limit.LimitReport;
import org.shoreroad.quarantine.CrashReport;

/**
 * MessagePack codec of heartbeats: the fields in order. All methods are thread-safe.
 *
 * <p>Fields that earlier releases do not write are at the end: the start times of upstreams and the
 * crash reports, then the eras of positions in the store and the configuration version, then the
 * limits of upstreams, then the additions. In a rolling upgrade a process of an earlier release
 * ignores the fields that it does not support, and a process of this release reads missing fields
 * as empty.
 */
final class HeartbeatCodec {
  private HeartbeatCodec() {}

  static byte[] toBytes(Heartbeat heartbeat) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packString(heartbeat.sender());
      out.packLong(heartbeat.sentNanos()).packLong(heartbeat.echoNanos());
      out.packString(heartbeat.scope().name()).packInt(heartbeat.processes());
      out.packLong(heartbeat.configNext().offset()).packLong(heartbeat.configAgeNanos());
      out.packArrayHeader(heartbeat.loads().size());
      for (Heartbeat.Load load : heartbeat.loads()) {
        out.packString(load.upstream()).packInt(load.open());
        out.packLong(load.waitingPromptTokens()).packInt(load.progressAgeMs());
      }
      packTexts(out, heartbeat.suspectedUpstreams());
      out.packMapHeader(heartbeat.askedUpstreams().size());
      for (Map.Entry<String, String> asked : heartbeat.askedUpstreams().entrySet()) {
        out.packString(asked.getKey()).packString(asked.getValue());
      }
      packTexts(out, heartbeat.silentUpstreams());
      packTexts(out, heartbeat.ownedDomains());
      out.packArrayHeader(heartbeat.reports().size());
      for (FleetBox report : heartbeat.reports()) {
        packBox(out, report);
      }
      packListUpdate(out, heartbeat.listUpdate());
      packStartTimes(out, heartbeat.reports());
      CrashReportCodec.pack(out, heartbeat.crashReports());
      out.packLong(heartbeat.configNext().era()).packLong(heartbeat.listUpdate().end().era());
      out.packLong(heartbeat.configVersion());
      LimitReportCodec.pack(out, heartbeat.limitReports());
      HeartbeatAdditionsCodec.pack(out, heartbeat.additions());
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("write to a memory buffer failed", e);
    }
  }

  /**
   * Reads a heartbeat, also one of an earlier release without start times and crash reports,
   * without eras, limits or additions.
   *
   * @throws IOException or an unchecked exception if the bytes are no valid heartbeat
   */
  static Heartbeat parse(byte[] bytes) throws IOException {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      String sender = in.unpackString();
      long sentNanos = in.unpackLong();
      long echoNanos = in.unpackLong();
      Heartbeat.Scope scope = Heartbeat.Scope.valueOf(in.unpackString());
      int processes = in.unpackInt();
      long configOffset = in.unpackLong();
      long configAgeNanos = in.unpackLong();
      List<Heartbeat.Load> loads = unpackLoads(in);
      Set<String> suspected = new HashSet<>(unpackTexts(in));
      Map<String, String> asked = unpackAsked(in);
      Set<String> silent = new HashSet<>(unpackTexts(in));
      Set<String> owned = new HashSet<>(unpackTexts(in));
      List<FleetBox> reports = unpackBoxes(in);
      ListUpdate listUpdate = unpackListUpdate(in, bytes.length);
      boolean hasCrashReports = in.hasNext();
      List<FleetBox> startedReports = hasCrashReports ? unpackStartTimes(in, reports) : reports;
      List<CrashReport> crashReports = hasCrashReports ? CrashReportCodec.unpack(in) : List.of();
      // Positions without an era are no proof, so this process does not rely on such a peer.
      boolean hasEras = in.hasNext();
      long configEra = hasEras ? in.unpackLong() : StorePosition.UNKNOWN_ERA;
      long listEra = hasEras ? in.unpackLong() : StorePosition.UNKNOWN_ERA;
      long configVersion = hasEras ? in.unpackLong() : Heartbeat.NO_CONFIG;
      List<LimitReport> limitReports = in.hasNext() ? LimitReportCodec.unpack(in) : List.of();
      HeartbeatAdditions additions =
          in.hasNext() ? HeartbeatAdditionsCodec.unpack(in) : HeartbeatAdditions.NONE;
      return new Heartbeat(
          sender,
          sentNanos,
          echoNanos,
          scope,
          processes,
          StorePosition.of(configEra, configOffset),
          configVersion,
          configAgeNanos,
          loads,
          suspected,
          asked,
          silent,
          owned,
          startedReports,
          listUpdate.withEra(listEra),
          crashReports,
          limitReports,
          additions);
    }
  }

  private static void packStartTimes(MessageBufferPacker out, List<FleetBox> boxes)
      throws IOException {
    for (FleetBox box : boxes) {
      out.packLong(box.bornMs());
    }
    out.packNil();
  }

  private static List<FleetBox> unpackStartTimes(MessageUnpacker in, List<FleetBox> boxes)
      throws IOException {
    List<FleetBox> complete = new ArrayList<>();
    for (FleetBox box : boxes) {
      complete.add(box.withStart(in.unpackLong()));
    }
    in.unpackNil();
    return complete;
  }

  private static void packListUpdate(MessageBufferPacker out, ListUpdate update)
      throws IOException {
    out.packLong(update.from().offset()).packLong(update.end().offset());
    out.packLong(update.ageNanos()).packLong(update.reachableNanos());
    out.packArrayHeader(update.records().size());
    for (StoreRecord record : update.records()) {
      byte[] value = record.value();
      out.packLong(record.offset()).packString(record.key()).packBoolean(value != null);
      if (value != null) {
        out.packBinaryHeader(value.length).writePayload(value);
      }
    }
  }

  private static ListUpdate unpackListUpdate(MessageUnpacker in, int messageBytes)
      throws IOException {
    return new ListUpdate(
        withoutEra(in.unpackLong()),
        withoutEra(in.unpackLong()),
        in.unpackLong(),
        in.unpackLong(),
        unpackRecords(in, messageBytes));
  }

  /** Returns the position at an offset whose era follows later in the message. */
  private static StorePosition withoutEra(long offset) {
    return StorePosition.of(StorePosition.UNKNOWN_ERA, offset);
  }

  private static List<StoreRecord> unpackRecords(MessageUnpacker in, int messageBytes)
      throws IOException {
    int count = in.unpackArrayHeader();
    List<StoreRecord> records = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      long offset = in.unpackLong();
      String key = in.unpackString();
      byte[] value = in.unpackBoolean() ? BinaryValue.unpack(in, messageBytes) : null;
      records.add(new StoreRecord(withoutEra(offset), key, value));
    }
    return records;
  }

  private static List<Heartbeat.Load> unpackLoads(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<Heartbeat.Load> loads = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      loads.add(
          new Heartbeat.Load(in.unpackString(), in.unpackInt(), in.unpackLong(), in.unpackInt()));
    }
    return loads;
  }

  private static Map<String, String> unpackAsked(MessageUnpacker in) throws IOException {
    int count = in.unpackMapHeader();
    Map<String, String> asked = new HashMap<>();
    for (int i = 0; i < count; i++) {
      asked.put(in.unpackString(), in.unpackString());
    }
    return asked;
  }

  private static void packBox(MessageBufferPacker out, FleetBox box) throws IOException {
    out.packString(box.id()).packString(box.service()).packString(box.address());
    out.packString(box.zone()).packInt(box.slots()).packBoolean(box.isLeaving());
    packOptional(out, box.domain());
    packOptional(out, box.model());
    packTexts(out, box.stagedModels());
    Membership membership = box.membership();
    out.packBoolean(membership != null);
    if (membership != null) {
      out.packString(membership.replica().name()).packLong(membership.replica().epoch());
      out.packInt(membership.rank()).packString(membership.state().name());
    }
  }

  private static List<FleetBox> unpackBoxes(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<FleetBox> boxes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      boxes.add(
          new FleetBox(
              in.unpackString(),
              in.unpackString(),
              in.unpackString(),
              in.unpackString(),
              in.unpackInt(),
              in.unpackBoolean(),
              unpackOptional(in),
              unpackOptional(in),
              unpackTexts(in),
              unpackMembership(in)));
    }
    return boxes;
  }

  private static @Nullable Membership unpackMembership(MessageUnpacker in) throws IOException {
    if (!in.unpackBoolean()) {
      return null;
    }
    ReplicaId replica = new ReplicaId(in.unpackString(), in.unpackLong());
    return new Membership(replica, in.unpackInt(), MemberState.valueOf(in.unpackString()));
  }

  private static void packTexts(MessageBufferPacker out, Collection<String> texts)
      throws IOException {
    out.packArrayHeader(texts.size());
    for (String text : texts) {
      out.packString(text);
    }
  }

  private static List<String> unpackTexts(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<String> texts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      texts.add(in.unpackString());
    }
    return texts;
  }

  private static void packOptional(MessageBufferPacker out, @Nullable String text)
      throws IOException {
    out.packString(text == null ? "" : text);
  }

  private static @Nullable String unpackOptional(MessageUnpacker in) throws IOException {
    String text = in.unpackString();
    return text.isEmpty() ? null : text;
  }
}
