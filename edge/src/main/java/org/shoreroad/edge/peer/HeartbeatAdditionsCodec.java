package org.shoreroad.edge.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.shoreroad.edge.peer.HeartbeatAdditions.ColdReport;
import org.shoreroad.edge.peer.HeartbeatAdditions.Evacuation;
import org.shoreroad.edge.peer.HeartbeatAdditions.RoomOwner;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.fleet.ModelTraffic;

/** MessagePack codec of heartbeat additions: the fields in order. All methods are thread-safe. */
final class HeartbeatAdditionsCodec {
  private HeartbeatAdditionsCodec() {}

  static void pack(MessageBufferPacker out, HeartbeatAdditions additions) throws IOException {
    out.packMapHeader(additions.grantedOpen().size());
    for (Map.Entry<String, Integer> granted : additions.grantedOpen().entrySet()) {
      out.packString(granted.getKey()).packInt(granted.getValue());
    }
    out.packMapHeader(additions.roomOwners().size());
    for (Map.Entry<String, RoomOwner> owner : additions.roomOwners().entrySet()) {
      out.packString(owner.getKey());
      out.packString(owner.getValue().process()).packString(owner.getValue().address());
    }
    out.packArrayHeader(additions.traffic().size());
    for (ModelTraffic traffic : additions.traffic()) {
      out.packString(traffic.service()).packString(traffic.model()).packString(traffic.zone());
      out.packInt(traffic.arrived()).packInt(traffic.refused()).packInt(traffic.late());
      out.packLong(traffic.promptTokens());
    }
    out.packArrayHeader(additions.coldReports().size());
    for (ColdReport cold : additions.coldReports()) {
      out.packString(cold.upstream().id()).packLong(cold.upstream().bornMs());
      out.packInt(cold.remainingMs());
    }
    out.packArrayHeader(additions.evacuations().size());
    for (Evacuation evacuation : additions.evacuations()) {
      out.packString(evacuation.zone()).packBoolean(evacuation.isRequested());
      out.packLong(evacuation.position().era()).packLong(evacuation.position().offset());
    }
    PartReportCodec.pack(out, additions.partReports());
  }

  /**
   * Reads additions, also those of an earlier release without reports on prompt parts.
   *
   * @throws IOException or an unchecked exception if the bytes are no valid additions
   */
  static HeartbeatAdditions unpack(MessageUnpacker in) throws IOException {
    return new HeartbeatAdditions(
        unpackGranted(in),
        unpackOwners(in),
        unpackTraffic(in),
        unpackCold(in),
        unpackEvacuations(in),
        in.hasNext() ? PartReportCodec.unpack(in) : List.of());
  }

  private static Map<String, Integer> unpackGranted(MessageUnpacker in) throws IOException {
    Map<String, Integer> granted = new HashMap<>();
    for (int count = in.unpackMapHeader(); count > 0; count--) {
      granted.put(in.unpackString(), in.unpackInt());
    }
    return granted;
  }

  private static Map<String, RoomOwner> unpackOwners(MessageUnpacker in) throws IOException {
    Map<String, RoomOwner> owners = new HashMap<>();
    for (int count = in.unpackMapHeader(); count > 0; count--) {
      owners.put(in.unpackString(), new RoomOwner(in.unpackString(), in.unpackString()));
    }
    return owners;
  }

  private static List<ModelTraffic> unpackTraffic(MessageUnpacker in) throws IOException {
    List<ModelTraffic> traffic = new ArrayList<>();
    for (int count = in.unpackArrayHeader(); count > 0; count--) {
      traffic.add(
          new ModelTraffic(
              in.unpackString(),
              in.unpackString(),
              in.unpackString(),
              in.unpackInt(),
              in.unpackInt(),
              in.unpackInt(),
              in.unpackLong()));
    }
    return traffic;
  }

  private static List<ColdReport> unpackCold(MessageUnpacker in) throws IOException {
    List<ColdReport> cold = new ArrayList<>();
    for (int count = in.unpackArrayHeader(); count > 0; count--) {
      Incarnation upstream = new Incarnation(in.unpackString(), in.unpackLong());
      cold.add(new ColdReport(upstream, in.unpackInt()));
    }
    return cold;
  }

  private static List<Evacuation> unpackEvacuations(MessageUnpacker in) throws IOException {
    List<Evacuation> evacuations = new ArrayList<>();
    for (int count = in.unpackArrayHeader(); count > 0; count--) {
      String zone = in.unpackString();
      boolean isRequested = in.unpackBoolean();
      StorePosition position = StorePosition.of(in.unpackLong(), in.unpackLong());
      evacuations.add(new Evacuation(zone, isRequested, position));
    }
    return evacuations;
  }
}
