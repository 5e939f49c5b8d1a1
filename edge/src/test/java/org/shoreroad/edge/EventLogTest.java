package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EventLogTest {
  private static final int LINES_PER_SECOND = 40;

  private long nowNanos;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final EventLog log = new EventLog("n-1", () -> nowNanos, out);

  private String[] lines() {
    log.flush();
    return out.toString(StandardCharsets.UTF_8).split("\n");
  }

  @Test
  void lineIsOneJsonObject() throws Exception {
    log.write("kind", "text", "a\"b\nc", "number", 7L, "truth", true, "none", null);
    JsonNode line = new ObjectMapper().readTree(lines()[0]);
    assertThat(line.path("event").asText(), is("kind"));
    assertThat(line.path("node").asText(), is("n-1"));
    assertThat(line.path("text").asText(), is("a\"b\nc"));
    assertThat(line.path("number").asLong(), is(7L));
    assertThat(line.path("truth").asBoolean(), is(true));
  }

  @Test
  void linesPerKindAndSecondAreLimitedAndOmittedOnesCounted() {
    for (int i = 0; i < 100; i++) {
      log.write("many", "i", i);
    }
    log.write("other");
    assertThat(lines().length, is(LINES_PER_SECOND + 1));
    nowNanos += TimeUnit.SECONDS.toNanos(1);
    log.write("many", "i", 100);
    String[] all = lines();
    assertThat(all[all.length - 1], containsString("\"omittedBefore\":60"));
  }

  /** Guards against lines of the size of an entry that another writer has put into the store. */
  @Test
  void longTextIsCutOff() throws Exception {
    log.write("kind", "why", "x".repeat(250_000), "next", "y".repeat(2_000));
    JsonNode line = new ObjectMapper().readTree(lines()[0]);
    assertThat(line.path("why").asText(), is("x".repeat(2_000) + "..."));
    assertThat(line.path("next").asText(), is("y".repeat(2_000)));
  }

  @Test
  @Timeout(30)
  void blockedOutputDoesNotBlockWriters() {
    CountDownLatch never = new CountDownLatch(1);
    OutputStream stuck =
        new OutputStream() {
          @Override
          public void write(int b) {
            await(never);
          }
        };
    EventLog blocked = new EventLog("n-1", () -> nowNanos, stuck);
    blocked.start();
    // Each line has its own kind, so that only the ring buffer limits them.
    for (int i = 0; i < 20_000; i++) {
      blocked.write("kind" + i);
    }
    assertThat(blocked.droppedLines(), is(greaterThan(0L)));
    assertThat(blocked.droppedLines(), is(lessThanOrEqualTo(20_000L)));
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
