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
 * A quarantined request as the store holds it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param writtenMs when it was written, in milliseconds since 1970 by the writer's time of day
 * @param report the crashes under it, not null
 */
record QuarantineRecord(long writtenMs, CrashReport report) {
  /** Checks that the report is there. */
  QuarantineRecord {
    Objects.requireNonNull(report, "report");
  }

  /** Signals bytes that are no record. */
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
      throw new IllegalStateException("a buffer can't fail to be written", e);
    }
  }

  /**
   * Reads a record.
   *
   * @throws UnreadableException if the bytes are none; another writer may have put them there
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

  /** Returns the report with the age that it has by now; a time to come counts as now. */
  CrashReport toReport(long nowMs) {
    long ageMs = Math.max(0, nowMs - writtenMs);
    return new CrashReport(
        report.fingerprint(), report.crashes(), report.refuted(), report.idleMs() + ageMs);
  }
}
