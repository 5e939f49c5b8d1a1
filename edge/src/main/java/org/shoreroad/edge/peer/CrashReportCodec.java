package org.shoreroad.edge.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.quarantine.Crash;
import org.shoreroad.quarantine.CrashReport;
import org.shoreroad.quarantine.RequestFingerprint;

/** MessagePack codec of crash reports: the fields in order. All methods are thread-safe. */
final class CrashReportCodec {
  private CrashReportCodec() {}

  static void pack(MessageBufferPacker out, List<CrashReport> reports) throws IOException {
    out.packArrayHeader(reports.size());
    for (CrashReport report : reports) {
      out.packLong(report.fingerprint().high()).packLong(report.fingerprint().low());
      out.packLong(report.idleMs());
      out.packArrayHeader(report.crashes().size());
      for (Crash crash : report.crashes()) {
        out.packString(crash.upstream().id()).packLong(crash.upstream().bornMs());
        out.packBoolean(crash.hadJustBegun());
        out.packBoolean(report.refuted().contains(crash.upstream()));
      }
    }
  }

  /**
   * Reads reports.
   *
   * @throws IOException or an unchecked exception of the library if the bytes are no valid reports
   */
  static List<CrashReport> unpack(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<CrashReport> reports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      reports.add(unpackReport(in));
    }
    return reports;
  }

  private static CrashReport unpackReport(MessageUnpacker in) throws IOException {
    RequestFingerprint fingerprint = new RequestFingerprint(in.unpackLong(), in.unpackLong());
    long idleMs = in.unpackLong();
    List<Crash> crashes = new ArrayList<>();
    Set<Incarnation> refuted = new HashSet<>();
    for (int left = in.unpackArrayHeader(); left > 0; left--) {
      Incarnation upstream = new Incarnation(in.unpackString(), in.unpackLong());
      crashes.add(new Crash(upstream, in.unpackBoolean()));
      if (in.unpackBoolean()) {
        refuted.add(upstream);
      }
    }
    return new CrashReport(fingerprint, crashes, refuted, idleMs);
  }
}
