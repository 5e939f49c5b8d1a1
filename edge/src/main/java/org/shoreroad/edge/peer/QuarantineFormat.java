package org.shoreroad.edge.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.shoreroad.edge.sync.Topic;
import org.shoreroad.quarantine.CrashReport;
import org.shoreroad.quarantine.PartReport;
import org.shoreroad.quarantine.PromptPart;
import org.shoreroad.quarantine.RequestFingerprint;

/**
 * Stored form of one kind of quarantine: the time of the write at the writer, in milliseconds since
 * 1970, then a list of one report.
 *
 * <p>Implementations are immutable and thread-safe.
 *
 * @param <R> the type of the reports
 * @since 0.2
 */
public abstract class QuarantineFormat<R> {
  /** Quarantined requests. */
  public static final QuarantineFormat<CrashReport> REQUESTS = new Requests();

  /** Quarantined prompt parts. */
  public static final QuarantineFormat<PartReport> PARTS = new Parts();

  /** Maximum length of a text, in characters; all are kept and sent to the other processes. */
  private static final int MAX_TEXT_LENGTH = 1_024;

  private final Topic topic;
  private final long keepMs;

  private QuarantineFormat(Topic topic, long keepMs) {
    this.topic = topic;
    this.keepMs = keepMs;
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

  /** Returns the topic of the records. */
  final Topic topic() {
    return topic;
  }

  /** Returns the time after which a record no longer has an effect, in milliseconds. */
  final long keepMs() {
    return keepMs;
  }

  /** Returns the key of the record of a report. */
  abstract String key(R report);

  abstract void pack(MessageBufferPacker out, List<R> reports) throws IOException;

  abstract List<R> unpack(MessageUnpacker in) throws IOException;

  abstract R agedBy(R report, long elapsedMs);

  /** Returns the texts of a report that another writer may have chosen. */
  abstract Stream<String> texts(R report);

  /** Returns the MessagePack form. */
  final byte[] toBytes(long writtenMs, R report) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packLong(writtenMs);
      pack(out, List.of(report));
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("write to a memory buffer failed", e);
    }
  }

  /**
   * Returns the report with its present age; a write time in the future counts as now.
   *
   * @throws UnreadableException if the bytes are no valid record; other writers may have written to
   *     the topic
   */
  final R parse(byte[] bytes, long nowMs) {
    try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
      long writtenMs = in.unpackLong();
      List<R> reports = unpack(in);
      if (reports.size() != 1 || in.hasNext()) {
        throw new UnreadableException("not one report");
      }
      if (texts(reports.get(0)).anyMatch(text -> text.length() > MAX_TEXT_LENGTH)) {
        throw new UnreadableException("a text is too long");
      }
      return agedBy(reports.get(0), Math.max(0, nowMs - writtenMs));
    } catch (IOException | MessagePackException e) {
      throw new UnreadableException(e);
    }
  }

  private static final class Requests extends QuarantineFormat<CrashReport> {
    private Requests() {
      super(Topic.QUARANTINE, TimeUnit.MINUTES.toMillis(10));
    }

    @Override
    String key(CrashReport report) {
      return report.fingerprint().toString();
    }

    @Override
    void pack(MessageBufferPacker out, List<CrashReport> reports) throws IOException {
      CrashReportCodec.pack(out, reports);
    }

    @Override
    List<CrashReport> unpack(MessageUnpacker in) throws IOException {
      return CrashReportCodec.unpack(in);
    }

    @Override
    CrashReport agedBy(CrashReport report, long elapsedMs) {
      return new CrashReport(
          report.fingerprint(), report.crashes(), report.refuted(), report.idleMs() + elapsedMs);
    }

    @Override
    Stream<String> texts(CrashReport report) {
      return report.crashes().stream().map(crash -> crash.upstream().id());
    }
  }

  private static final class Parts extends QuarantineFormat<PartReport> {
    private Parts() {
      super(Topic.PART_QUARANTINE, TimeUnit.DAYS.toMillis(1));
    }

    @Override
    String key(PartReport report) {
      // Callers choose the ids of parts, and the store bounds the length of a key.
      return RequestFingerprint.of("", "", report.part().toString(), "", ByteBuffer.allocate(0))
          .toString();
    }

    @Override
    void pack(MessageBufferPacker out, List<PartReport> reports) throws IOException {
      PartReportCodec.pack(out, reports);
    }

    @Override
    List<PartReport> unpack(MessageUnpacker in) throws IOException {
      return PartReportCodec.unpack(in);
    }

    @Override
    PartReport agedBy(PartReport report, long elapsedMs) {
      return report.agedBy(elapsedMs);
    }

    @Override
    Stream<String> texts(PartReport report) {
      PromptPart part = report.part();
      return Stream.concat(
          Stream.of(part.service(), part.model(), part.id()),
          report.crashes().stream().map(crash -> crash.upstream().id()));
    }
  }
}
