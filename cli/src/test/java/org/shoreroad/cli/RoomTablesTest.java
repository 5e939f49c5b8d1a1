package org.shoreroad.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RoomTablesTest {
  @TempDir Path folder;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();

  private String write(String... lines) throws IOException {
    Path file = folder.resolve("room.log");
    Files.write(file, List.of(lines));
    return file.toString();
  }

  private String room() throws IOException {
    return write(
        line(1_000, "a", "room_sharing", "\"isActive\":true"),
        line(1_300, "b", "room_sharing", "\"isActive\":true"),
        line(
            2_000,
            "a",
            "request_refused",
            "\"request\":\"r1\",\"reason\":\"saturated\",\"why\":\"cache_full\",\"priority\":2,"
                + "\"route\":\"batch\",\"model\":\"m\",\"account\":\"north\""),
        line(
            2_500,
            "b",
            "request_refused",
            "\"request\":\"r2\",\"reason\":\"saturated\",\"why\":\"cache_full\",\"priority\":2,"
                + "\"route\":\"batch\",\"model\":\"m\",\"account\":\"north\","
                + "\"omittedBefore\":3"),
        line(2_600, "b", "request_refused", "\"reason\":\"no_route\",\"account\":\"\""),
        line(
            3_000,
            "a",
            "room_state",
            "\"model\":\"m\",\"corrected\":1,\"results\":\"{cache_full=2, granted=5}\","
                + "\"accounts\":\"{:granted=1, north:granted=4, north:refused=2, others=7}\""),
        line(
            5_000,
            "a",
            "room_state",
            "\"model\":\"m\",\"corrected\":3,\"results\":\"{granted=6}\","
                + "\"accounts\":\"{a, b:granted=6}\""),
        line(5_000, "b", "room_state", "\"model\":\"m\",\"results\":\"7\",\"accounts\":{}"),
        line(5_100, "b", "room_asks", "\"results\":\"{grants:owner_1=9, silent:lost=1}\""),
        line(5_200, "a", "room_asks", "\"results\":\"{grants:owner_1=2}\""),
        line(6_000, "a", "room_sharing", "\"isActive\":false"),
        line(
            6_100,
            "a",
            "replica_conversion",
            "\"domain\":\"d\",\"closed\":\"[h1]\",\"pressureBefore\":\"2.1\","
                + "\"pressureAfter\":\"1.2\""));
  }

  private static String line(long timeMs, String node, String event, String fields) {
    return "{\"timeMs\":%d,\"node\":\"%s\",\"event\":\"%s\",%s}"
        .formatted(timeMs, node, event, fields);
  }

  private String run(String... args) {
    PrintStream print = new PrintStream(out, true);
    assertThat(Main.run(args, Map.of(), print, print), is(ExitCode.OK));
    return out.toString(StandardCharsets.UTF_8);
  }

  private JsonNode report(String file) throws IOException {
    return new ObjectMapper().readTree(run("report", "--output", "json", file));
  }

  private static JsonNode row(String json) throws IOException {
    return new ObjectMapper().readTree(json.replace('\'', '"'));
  }

  @Test
  void refusalsAreCountedByBoundClassAndAccount() throws IOException {
    JsonNode report = report(room());
    assertThat(
        report.path("refusalsByWhy"),
        is(
            row(
                "[{'why':'cache_full','priority':'2','model':'m','count':5,"
                    + "'fromSecond':1.0,'toSecond':1.5}]")));
    assertThat(
        report.path("refusalsByAccount"),
        is(
            row(
                "[{'account':'north','route':'batch','reason':'saturated','count':5,"
                    + "'fromSecond':1.0,'toSecond':1.5}]")));
  }

  @Test
  void decisionsOfOwnersAreSummed() throws IOException {
    JsonNode report = report(room());
    assertThat(
        report.path("roomDecisions"),
        is(
            row(
                "[{'model':'m','result':'cache_full','count':2},"
                    + "{'model':'m','result':'granted','count':11}]")));
    assertThat(
        report.path("roomAccounts"),
        is(
            row(
                "[{'account':'','granted':1,'refused':0},"
                    + "{'account':'a, b','granted':6,'refused':0},"
                    + "{'account':'north','granted':4,'refused':2},"
                    + "{'account':'others','granted':0,'refused':0,'either':7}]")));
    assertThat(
        report.path("roomCorrections"), is(row("[{'owner':'a','model':'m','corrected':3}]")));
  }

  @Test
  void asksSharingAndConversionsAreReported() throws IOException {
    JsonNode report = report(room());
    assertThat(
        report.path("roomAsks"),
        is(
            row(
                "[{'result':'grants','reason':'owner_1','count':11},"
                    + "{'result':'silent','reason':'lost','count':1}]")));
    JsonNode begins = report.path("roomSharing").path(0);
    assertThat(begins.path("sharing").asText(), is("begins"));
    assertThat(begins.path("processes").asInt(), is(2));
    assertThat(begins.path("toSecond").asDouble(), is(0.3));
    assertThat(report.path("roomSharing").path(1).path("fromSecond").asDouble(), is(5.0));
    assertThat(report.path("conversions").path(0).path("closed").asText(), is("[h1]"));
  }

  @Test
  void textHasTheTables() throws IOException {
    String text = run("report", room());
    assertThat(text, containsString("refusalsByWhy:"));
    assertThat(text, containsString("cache_full"));
    assertThat(text, containsString("roomAccounts:"));
  }

  @Test
  void logsWithoutRoomHaveTheReportOfBefore() throws IOException {
    String file =
        write(
            line(1_000, "a", "start", "\"zone\":\"z\""),
            line(2_000, "a", "request_refused", "\"reason\":\"no_route\",\"model\":\"m\""));
    String nl = System.lineSeparator();
    assertThat(
        run("report", file),
        is(
            String.join(
                    nl,
                    "lines: 2",
                    "unreadable: 0",
                    "omitted: 0",
                    "refusals:",
                    "REASON    MODEL  COUNT  FROMSECOND  TOSECOND  ",
                    "no_route  m      1      1.0         1.0       ",
                    "attempts: []",
                    "cut: []",
                    "late: []",
                    "losses: []",
                    "models: []",
                    "boxes: []",
                    "storeEras: []",
                    "asked: []",
                    "zones: []")
                + nl));
  }

  @Test
  void explainNamesBoundClassAndAccountOfRefusal() throws IOException {
    String text = run("explain", "r1", room());
    assertThat(text, containsString("why=cache_full"));
    assertThat(text, containsString("priority=2"));
    assertThat(text, containsString("route=batch"));
    assertThat(text, containsString("account=north"));
  }
}
