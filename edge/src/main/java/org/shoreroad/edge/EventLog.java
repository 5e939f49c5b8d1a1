package org.shoreroad.edge;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.jctools.queues.MpscArrayQueue;

/**
 * Log of structured lines, one JSON object each, written by a separate thread.
 *
 * <p>Never blocks: if the ring buffer is full because the output is not read, lines are dropped and
 * counted. The number of lines per kind of event and second is limited; the next line of that kind
 * contains the number of omitted ones. A long text is cut off, with three dots at its end. {@link
 * #write} must be called on the event loop; the other methods are thread-safe.
 *
 * @since 0.2
 */
public final class EventLog {
  /** Capacity of the ring buffer, in lines of usually some hundred bytes. */
  private static final int RING_LINES = 4_096;

  /** Maximum lines per kind and second: enough to follow an incident, limited under load. */
  private static final int LINES_PER_SECOND = 40;

  /** Maximum length of a text, in characters; other writers choose some of the texts. */
  private static final int MAX_TEXT_LENGTH = 2_000;

  private static final String OMISSION = "...";
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long WRITER_PAUSE_NANOS = 200_000_000L;

  private final MpscArrayQueue<String> ring = new MpscArrayQueue<>(RING_LINES);
  private final AtomicLong droppedLines = new AtomicLong();
  private final Map<String, RateLimit> limits = new HashMap<>();
  private final JsonFactory json = new JsonFactory();
  private final String node;
  private final LongSupplier clockNanos;
  private final OutputStream out;

  /**
   * Creates a log.
   *
   * @param node the name of this process, on each line
   * @param clockNanos the steady clock
   * @param out the output for the lines
   */
  public EventLog(String node, LongSupplier clockNanos, OutputStream out) {
    this.node = node;
    this.clockNanos = clockNanos;
    this.out = out;
  }

  /** Starts the writer thread. */
  public void start() {
    Thread writer = new Thread(this::writeAll, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Writes one line, unless the limit of its kind for this second is reached.
   *
   * @param event the kind of the event
   * @param fields alternating names and values
   */
  public void write(String event, Object... fields) {
    long nowNanos = clockNanos.getAsLong();
    RateLimit limit = limits.computeIfAbsent(event, name -> new RateLimit());
    if (!limit.admits(nowNanos)) {
      return;
    }
    String line = toLine(event, limit.takeOmitted(), fields);
    if (!ring.offer(line)) {
      droppedLines.incrementAndGet();
    }
  }

  /** Returns the number of lines dropped because the output was not read. */
  public long droppedLines() {
    return droppedLines.get();
  }

  /** Writes all pending lines; called at the end of the process. */
  public void flush() {
    drain();
  }

  private String toLine(String event, long omitted, Object... fields) {
    StringWriter text = new StringWriter(160);
    try (JsonGenerator generator = json.createGenerator(text)) {
      generator.writeStartObject();
      generator.writeNumberField("timeMs", System.currentTimeMillis());
      generator.writeStringField("node", node);
      generator.writeStringField("event", event);
      for (int i = 0; i + 1 < fields.length; i += 2) {
        generator.writeFieldName((String) fields[i]);
        writeValue(generator, fields[i + 1]);
      }
      if (omitted > 0) {
        generator.writeNumberField("omittedBefore", omitted);
      }
      generator.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("write to a memory buffer failed", e);
    }
    return text.append('\n').toString();
  }

  private static void writeValue(JsonGenerator generator, Object value) throws IOException {
    if (value instanceof Long number) {
      generator.writeNumber(number);
    } else if (value instanceof Integer number) {
      generator.writeNumber(number);
    } else if (value instanceof Boolean truth) {
      generator.writeBoolean(truth);
    } else {
      generator.writeString(shorten(String.valueOf(value)));
    }
  }

  private static String shorten(String text) {
    return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH) + OMISSION;
  }

  private void writeAll() {
    while (true) {
      drain();
      LockSupport.parkNanos(WRITER_PAUSE_NANOS);
    }
  }

  private synchronized void drain() {
    StringBuilder lines = new StringBuilder();
    for (String line = ring.poll(); line != null; line = ring.poll()) {
      lines.append(line);
    }
    if (lines.isEmpty()) {
      return;
    }
    try {
      out.write(lines.toString().getBytes(StandardCharsets.UTF_8));
      out.flush();
    } catch (IOException e) {
      // A failed output can't be logged, only counted.
      droppedLines.incrementAndGet();
    }
  }

  /** Rate limit of one kind of event: the lines of the current second. */
  private static final class RateLimit {
    private long startNanos = Long.MIN_VALUE / 2;
    private int lines;
    private long omitted;

    boolean admits(long nowNanos) {
      if (nowNanos - startNanos >= SECOND_NANOS) {
        startNanos = nowNanos;
        lines = 0;
      }
      if (lines >= LINES_PER_SECOND) {
        omitted++;
        return false;
      }
      lines++;
      return true;
    }

    long takeOmitted() {
      long taken = omitted;
      omitted = 0;
      return taken;
    }
  }
}
