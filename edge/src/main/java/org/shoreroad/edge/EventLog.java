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
 * Structured log lines, one JSON object each, written by a thread of their own.
 *
 * <p>Never blocks: when the ring is full because nobody reads the output, lines are dropped and
 * counted. Of each kind of event no more than a fixed number is written in a second; the next line
 * of that kind tells how many were left out. {@link #write} is called on the event loop only.
 *
 * @since 0.2
 */
public final class EventLog {
  /** Lines waiting to be written; at most some hundred bytes each. */
  private static final int RING_LINES = 4_096;

  /** Lines of one kind in a second: enough to follow an incident, bounded under load. */
  private static final int LINES_PER_SECOND = 40;

  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long WRITER_PAUSE_NANOS = 200_000_000L;

  private final MpscArrayQueue<String> ring = new MpscArrayQueue<>(RING_LINES);
  private final AtomicLong droppedLines = new AtomicLong();
  private final Map<String, Window> windows = new HashMap<>();
  private final JsonFactory json = new JsonFactory();
  private final String node;
  private final LongSupplier clockNanos;
  private final OutputStream out;

  /**
   * Creates a log.
   *
   * @param node the name of this process, on each line
   * @param clockNanos the steady clock
   * @param out where the lines go
   */
  public EventLog(String node, LongSupplier clockNanos, OutputStream out) {
    this.node = node;
    this.clockNanos = clockNanos;
    this.out = out;
  }

  /** Starts the thread that writes. */
  public void start() {
    Thread writer = new Thread(this::writeAll, "event-log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Writes one line, unless its kind has had its share of this second.
   *
   * @param event the kind of the event
   * @param fields names and values by turns
   */
  public void write(String event, Object... fields) {
    long nowNanos = clockNanos.getAsLong();
    Window window = windows.computeIfAbsent(event, name -> new Window());
    if (!window.admits(nowNanos)) {
      return;
    }
    String line = toLine(event, window.takeOmitted(), fields);
    if (!ring.offer(line)) {
      droppedLines.incrementAndGet();
    }
  }

  /** Returns how many lines were lost because nobody read the output. */
  public long droppedLines() {
    return droppedLines.get();
  }

  /** Writes what waits, for the end of the process. */
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
      throw new IllegalStateException("a string can't fail to be written", e);
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
      generator.writeString(String.valueOf(value));
    }
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
      // There is nowhere left to tell it but the count.
      droppedLines.incrementAndGet();
    }
  }

  /** What one kind of event has had of the running second. */
  private static final class Window {
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
