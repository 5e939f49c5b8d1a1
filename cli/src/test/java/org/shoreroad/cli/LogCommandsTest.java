package org.shoreroad.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LogCommandsTest {
  @TempDir Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private String first = "";
  private String second = "";
  private String storeRestore = "";

  @BeforeEach
  void writeLogs() throws IOException {
    first =
        write(
            "a.log",
            "{\"timeMs\":1000,\"node\":\"a\",\"event\":\"start\"}",
            "12.5 a {\"timeMs\":3000,\"node\":\"a\",\"event\":\"replica_suspected\",\"head\":\"h1\","
                + "\"by\":\"silence\",\"silentMs\":160}",
            "{\"timeMs\":3010,\"node\":\"a\",\"event\":\"attempt_failed\",\"request\":\"r1\","
                + "\"end\":\"STALLED\",\"upstream\":\"h1\",\"model\":\"m\"}",
            "{\"timeMs\":3900,\"node\":\"a\",\"event\":\"answer_late\",\"request\":\"r1\","
                + "\"reason\":\"pause\",\"model\":\"m\",\"omittedBefore\":4}",
            "no JSON at all",
            "{\"timeMs\":",
            "{\"event\":\"x\"}",
            "");
    second =
        write(
            "b.log",
            "{\"timeMs\":3200,\"node\":\"b\",\"event\":\"box_order\",\"box\":\"h1\","
                + "\"verb\":\"CLOSE_NOW\",\"outcome\":\"TAKEN\"}",
            "{\"timeMs\":5000,\"node\":\"b\",\"event\":\"replica_open\",\"head\":\"h1\"}",
            "{\"timeMs\":3100,\"node\":\"b\",\"event\":\"model_state\",\"model\":\"m\",\"heads\":3,"
                + "\"open\":9,\"places\":54}",
            "{\"timeMs\":3100,\"node\":\"b\",\"event\":\"box_order\",\"box\":\"h2\","
                + "\"verb\":\"LEAVE\",\"outcome\":\"TAKEN\"}");
    storeRestore =
        write(
            "c.log",
            "{\"timeMs\":3000,\"node\":\"c\",\"event\":\"start\"}",
            "{\"timeMs\":3100,\"node\":\"c\",\"event\":\"store_era\",\"old\":1,\"new\":2}",
            "{\"timeMs\":3300,\"node\":\"a\",\"event\":\"store_era\",\"old\":1,\"new\":2}",
            "{\"timeMs\":3600,\"node\":\"c\",\"event\":\"topic_listed_in_new_era\","
                + "\"topic\":\"UPSTREAMS\",\"era\":2,\"keys\":7}");
  }

  private String write(String name, String... lines) throws IOException {
    Path file = folder.resolve(name);
    Files.write(file, List.of(lines));
    return file.toString();
  }

  private ExitCode run(String... args) {
    return Main.run(args, Map.of(), new PrintStream(out, true), new PrintStream(err, true));
  }

  private JsonNode report() throws IOException {
    assertThat(run("report", "--output", "json", first, second), is(ExitCode.OK));
    return new ObjectMapper().readTree(out.toByteArray());
  }

  @Test
  void unreadableLinesAreCountedAndSkipped() throws IOException {
    JsonNode report = report();
    assertThat(report.path("lines").asInt(), is(8));
    assertThat(report.path("unreadable").asInt(), is(3));
  }

  @Test
  void nestedLinesBeyondTheLimitAreCountedAndSkipped() throws IOException {
    String line = "{\"timeMs\":1,\"event\":\"start\",\"x\":";
    String nested =
        write("nested", line + "[".repeat(900) + "]".repeat(900) + "}", line + "[".repeat(100_000));
    assertThat(run("report", "--output", "json", nested), is(ExitCode.OK));
    JsonNode report = new ObjectMapper().readTree(out.toByteArray());
    assertThat(report.path("lines").asInt(), is(1));
    assertThat(report.path("unreadable").asInt(), is(1));
  }

  @Test
  void omittedLinesAreIncludedInCounts() throws IOException {
    JsonNode late = report().path("late").path(0);
    assertThat(late.path("reason").asText(), is("pause"));
    assertThat(late.path("count").asInt(), is(5));
    assertThat(late.path("fromSecond").asDouble(), is(2.9));
  }

  @Test
  void lossIsTracedAcrossLogsOfSeveralProcesses() throws IOException {
    JsonNode loss = report().path("losses").path(0);
    assertThat(loss.path("head").asText(), is("h1"));
    assertThat(loss.path("silentMs").asInt(), is(160));
    assertThat(loss.path("closedAfterMs").asInt(), is(200));
    assertThat(loss.path("openAfterMs").asInt(), is(2_000));
  }

  @Test
  void modelStateIsReported() throws IOException {
    JsonNode model = report().path("models").path(0);
    assertThat(model.path("second").asInt(), is(2));
    assertThat(model.path("open").asInt(), is(9));
  }

  @Test
  void explainShowsEventsOfTheUpstreamOfTheRequestOnly() {
    assertThat(run("explain", "r1", first, second), is(ExitCode.OK));
    String text = out.toString(StandardCharsets.UTF_8);
    assertThat(text, containsString("STALLED"));
    assertThat(text, containsString("CLOSE_NOW"));
    assertThat(text, not(containsString("LEAVE")));
  }

  @Test
  void storeRestoreIsReported() throws IOException {
    assertThat(run("report", "--output", "json", storeRestore), is(ExitCode.OK));
    JsonNode era = new ObjectMapper().readTree(out.toByteArray()).path("storeEras").path(0);
    assertThat(era.path("era").asLong(), is(2L));
    assertThat(era.path("processes").asInt(), is(2));
    assertThat(era.path("fromSecond").asDouble(), is(0.1));
    assertThat(era.path("toSecond").asDouble(), is(0.3));
    assertThat(era.path("UPSTREAMSListedBySecond").asDouble(), is(0.6));
  }

  @Test
  void upstreamSignalsAreReported() throws IOException {
    String signals =
        write(
            "d.log",
            "{\"timeMs\":1000,\"node\":\"a\",\"event\":\"upstream_limit\",\"upstream\":\"i-1\","
                + "\"perSecond\":\"1.2\"}",
            "{\"timeMs\":1500,\"node\":\"b\",\"event\":\"upstream_limit\",\"upstream\":\"i-1\","
                + "\"perSecond\":\"0.8\"}",
            "{\"timeMs\":1700,\"node\":\"b\",\"event\":\"upstream_rest\",\"upstream\":\"i-1\","
                + "\"seconds\":\"3.0\"}");
    assertThat(run("report", "--output", "json", signals), is(ExitCode.OK));
    JsonNode rows = new ObjectMapper().readTree(out.toByteArray()).path("asked");
    assertThat(rows.size(), is(2));
    JsonNode limit = rows.path(0);
    assertThat(limit.path("asked").asText(), is("limit"));
    assertThat(limit.path("count").asLong(), is(2L));
    assertThat(limit.path("processes").asInt(), is(2));
    assertThat(limit.path("toSecond").asDouble(), is(0.5));
    assertThat(limit.path("lastFigure").asText(), is("0.8"));
    assertThat(rows.path(1).path("asked").asText(), is("rest"));
  }

  @Test
  void reportShowsColdUpstreamsAndEvacuatedZones() throws IOException {
    String zones =
        write(
            "z.log",
            "{\"timeMs\":1000,\"node\":\"a\",\"event\":\"zone_evacuated\",\"zone\":\"z\","
                + "\"isKnown\":true,\"era\":1,\"offset\":4,\"by\":\"store\"}",
            "{\"timeMs\":1400,\"node\":\"b\",\"event\":\"zone_evacuated\",\"zone\":\"z\","
                + "\"isKnown\":true,\"era\":1,\"offset\":4,\"by\":\"peer\"}",
            "{\"timeMs\":3000,\"node\":\"a\",\"event\":\"zone_returned\",\"zone\":\"z\","
                + "\"isKnown\":true,\"era\":1,\"offset\":9,\"by\":\"store\"}",
            "{\"timeMs\":3000,\"node\":\"a\",\"event\":\"upstream_cold\",\"upstream\":\"i-1\","
                + "\"by\":\"zone\"}");
    assertThat(run("report", "--output", "json", zones), is(ExitCode.OK));
    JsonNode report = new ObjectMapper().readTree(out.toByteArray());
    JsonNode rows = report.path("zones");
    assertThat(rows.size(), is(2));
    assertThat(rows.path(0).path("what").asText(), is("zone_evacuated"));
    assertThat(rows.path(0).path("processes").asInt(), is(2));
    assertThat(rows.path(0).path("toldByPeer").asInt(), is(1));
    assertThat(rows.path(0).path("toSecond").asDouble(), is(0.4));
    assertThat(rows.path(1).path("what").asText(), is("zone_returned"));
    assertThat(report.path("asked").path(0).path("asked").asText(), is("cold"));
    assertThat(report.path("asked").path(0).path("lastFigure").asText(), is("zone"));
  }

  @Test
  void explainShowsStoreEventsOfTheProcessOfTheRequestOnly() {
    assertThat(run("explain", "r1", first, second, storeRestore), is(ExitCode.OK));
    String text = out.toString(StandardCharsets.UTF_8);
    assertThat(text, containsString("store_era"));
    assertThat(text, not(containsString("topic_listed_in_new_era")));
  }

  @Test
  void unknownRequestAndUnreadableFileAreErrors() {
    assertThat(run("explain", "r9", first), is(ExitCode.REFUSED));
    assertThat(run("report", folder.resolve("none.log").toString()), is(ExitCode.USAGE));
    assertThat(err.toString(StandardCharsets.UTF_8), containsString("none.log"));
    assertThat(run("report", folder.toString()), is(ExitCode.USAGE));
  }
}
