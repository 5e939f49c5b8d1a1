package org.shoreroad.edge.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.limit.LimitReport;
import org.shoreroad.limit.RequestLimit;

/** MessagePack codec of limit reports: the fields in order. All methods are thread-safe. */
final class LimitReportCodec {
  private LimitReportCodec() {}

  static void pack(MessageBufferPacker out, List<LimitReport> reports) throws IOException {
    out.packArrayHeader(reports.size());
    for (LimitReport report : reports) {
      RequestLimit limit = report.limit();
      out.packString(report.upstream().id()).packLong(report.upstream().bornMs());
      out.packLong(report.ageMs()).packBoolean(limit != null);
      if (limit != null) {
        out.packDouble(limit.perSecond());
      }
    }
  }

  /**
   * Reads reports.
   *
   * @throws IOException or an unchecked exception, of the library or for an invalid limit, if the
   *     bytes are no valid reports
   */
  static List<LimitReport> unpack(MessageUnpacker in) throws IOException {
    int count = in.unpackArrayHeader();
    List<LimitReport> reports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Incarnation upstream = new Incarnation(in.unpackString(), in.unpackLong());
      long ageMs = in.unpackLong();
      RequestLimit limit = in.unpackBoolean() ? new RequestLimit(in.unpackDouble()) : null;
      reports.add(new LimitReport(upstream, limit, ageMs));
    }
    return reports;
  }
}
