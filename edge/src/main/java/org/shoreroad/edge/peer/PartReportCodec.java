package org.shoreroad.edge.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.quarantine.PartCrash;
import org.shoreroad.quarantine.PartReport;
import org.shoreroad.quarantine.PromptPart;

/** MessagePack codec of reports on prompt parts: the fields in order. Thread-safe. */
final class PartReportCodec {
  private PartReportCodec() {}

  static void pack(MessageBufferPacker out, List<PartReport> reports) throws IOException {
    out.packArrayHeader(reports.size());
    for (PartReport report : reports) {
      PromptPart part = report.part();
      out.packString(part.service()).packString(part.model()).packString(part.id());
      out.packBoolean(report.isQuarantined()).packLong(report.idleMs());
      out.packArrayHeader(report.crashes().size());
      for (PartCrash crash : report.crashes()) {
        out.packString(crash.upstream().id()).packLong(crash.upstream().bornMs());
        out.packLong(crash.request()).packLong(crash.ageMs()).packBoolean(crash.isRefuted());
      }
    }
  }

  /**
   * Reads reports.
   *
   * @throws IOException or an unchecked exception of the library if the bytes are no valid reports
   */
  static List<PartReport> unpack(MessageUnpacker in) throws IOException {
    List<PartReport> reports = new ArrayList<>();
    for (int left = in.unpackArrayHeader(); left > 0; left--) {
      PromptPart part = new PromptPart(in.unpackString(), in.unpackString(), in.unpackString());
      boolean isQuarantined = in.unpackBoolean();
      long idleMs = in.unpackLong();
      reports.add(new PartReport(part, unpackCrashes(in), isQuarantined, idleMs));
    }
    return reports;
  }

  private static List<PartCrash> unpackCrashes(MessageUnpacker in) throws IOException {
    List<PartCrash> crashes = new ArrayList<>();
    for (int left = in.unpackArrayHeader(); left > 0; left--) {
      Incarnation upstream = new Incarnation(in.unpackString(), in.unpackLong());
      crashes.add(new PartCrash(upstream, in.unpackLong(), in.unpackLong(), in.unpackBoolean()));
    }
    return crashes;
  }
}
