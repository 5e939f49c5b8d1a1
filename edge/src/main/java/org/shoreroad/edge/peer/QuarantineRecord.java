package org.shoreroad.edge.peer;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.shoreroad.quarantine.CrashReport;

/**
 * Stored form of a quarantined request.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param writtenMs the wall clock time of the write at the writer, in milliseconds since 1970
 * @param report the crashes under the request, not null
 */
record QuarantineRecord(long writtenMs, CrashReport report) {
  /** Checks that the report is not null. */
  QuarantineRecord {
    Objects.requireNonNull(report, "report");
  }

  /** Thrown if bytes are no valid record. */
  static final class UnreadableException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private UnreadableException(Exception cause) {
      super(String.valueOf(cause.getMessage()), cause);
    }

    private UnreadableException(String message) {
      super(message);
    }
  }

  /** Returns the MessagePack form: the time, then a list of one report. */
  byte[] toBytes() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packLong(writtenMs);
      CrashReportCodec.pack(out, List.of(report));
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("write to a memory buffer failed", e);
    }
  }

  /**
   * Reads a record.
   *
   * @throws UnreadableException if the bytes are no valid record; other writers may have written to
   *     the topic
   */
  static QuarantineRecord parse(byte[] bytes) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      long writtenMs = in.unpackLong();
      List<CrashReport> reports = CrashReportCodec.unpack(in);
      if (reports.size() != 1 || in.hasNext()) {
        throw new UnreadableException("not one report");
      }
      return new QuarantineRecord(writtenMs, reports.get(0));
    } catch (IOException | MessagePackException e) {
      throw new UnreadableException(e);
    }
  }

  /** Returns the report with its present age; a write time in the future counts as now. */
  CrashReport toReport(long nowMs) {
    long ageMs = Math.max(0, nowMs - writtenMs);
    return new CrashReport(
        report.fingerprint(), report.crashes(), report.refuted(), report.idleMs() + ageMs);
  }
}
