package org.shoreroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Summary of the logs of all processes: refused requests, failed attempts and late answers, the
 * downtime of each replica after a loss, the state of models and boxes over time, restores of the
 * store from an older copy, the signals of upstreams, evacuations of availability zones, and the
 * room that owners of domains granted and refused.
 */
final class LogReport {
  /** Period at which the processes log the state of models and boxes, in seconds. */
  private static final int STATE_PERIOD_SECONDS = 2;

  /** Consecutive suspicions of one head at most this far apart count as one loss. */
  private static final long SAME_LOSS_MS = 3_000;

  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private final LogLines log;

  private LogReport(LogLines log) {
    this.log = log;
  }

  /** Returns the report as one table for each topic. */
  static ObjectNode of(LogLines log) {
    LogReport report = new LogReport(log);
    ObjectNode tables = NODES.objectNode();
    tables.put("lines", log.all().size());
    tables.put("unreadable", log.unreadable());
    tables.put("omitted", log.omitted());
    tables.set("refusals", report.count("request_refused", "reason"));
    tables.set("attempts", report.count("attempt_failed", "end"));
    tables.set("cut", report.count("answer_cut", "reason"));
    tables.set("late", report.count("answer_late", "reason"));
    tables.set("losses", report.losses());
    tables.set("models", report.models());
    tables.set("boxes", report.boxes());
    tables.set("storeEras", report.storeEras());
    tables.set("asked", UpstreamSignalTable.of(log));
    tables.set("zones", ZoneTable.of(log));
    RoomTables.addTo(tables, log);
    return tables;
  }

  /** Counts the lines of an event by a field and the model, including omitted lines. */
  private ArrayNode count(String event, String field) {
    Map<String, ObjectNode> rows = new TreeMap<>();
    for (JsonNode line : log.withEvent(event)) {
      String value = line.path(field).asText();
      String model = line.path("model").asText();
      ObjectNode row =
          rows.computeIfAbsent(
              value + "/" + model,
              key ->
                  NODES
                      .objectNode()
                      .put(field, value)
                      .put("model", model)
                      .put("count", 0L)
                      .put("fromSecond", round(log.secondsSinceStart(line))));
      row.put("count", row.path("count").asLong() + 1 + line.path("omittedBefore").asLong());
      row.put("toSecond", round(log.secondsSinceStart(line)));
    }
    return NODES.arrayNode().addAll(rows.values());
  }

  /**
   * Returns a row for each loss of a replica's head, with the times until the head was ordered to
   * close and until the replica was open again.
   */
  private ArrayNode losses() {
    ArrayNode rows = NODES.arrayNode();
    Map<String, Long> lastSuspectedMs = new HashMap<>();
    for (JsonNode line : log.withEvent("replica_suspected")) {
      String head = line.path("head").asText();
      long timeMs = LogLines.timeMs(line);
      Long before = lastSuspectedMs.put(head, timeMs);
      if (before == null || timeMs - before > SAME_LOSS_MS) {
        rows.add(
            NODES
                .objectNode()
                .put("second", round(log.secondsSinceStart(line)))
                .put("head", head)
                .put("silentMs", line.path("silentMs").asLong(-1))
                .put("closedAfterMs", firstAfter("box_order", timeMs, l -> isClosing(l, head)))
                .put("openAfterMs", firstAfter("replica_open", timeMs, l -> isForHead(l, head))));
      }
    }
    return rows;
  }

  private static boolean isClosing(JsonNode line, String head) {
    return line.path("box").asText().equals(head)
        && line.path("verb").asText().startsWith("CLOSE")
        && line.path("outcome").asText().equals("TAKEN");
  }

  private static boolean isForHead(JsonNode line, String head) {
    return line.path("head").asText().equals(head);
  }

  /** Returns the time until the first matching line at or after {@code timeMs}, in ms, or -1. */
  private long firstAfter(String event, long timeMs, Function<JsonNode, Boolean> isMatch) {
    return log.withEvent(event).stream()
        .filter(line -> LogLines.timeMs(line) >= timeMs && isMatch.apply(line))
        .mapToLong(line -> LogLines.timeMs(line) - timeMs)
        .findFirst()
        .orElse(-1);
  }

  /** Returns the state of each model over time; the last line of each period counts. */
  private ArrayNode models() {
    Map<String, ObjectNode> rows = new TreeMap<>();
    for (JsonNode line : log.withEvent("model_state")) {
      int second = periodStartSecond(line);
      String model = line.path("model").asText();
      ObjectNode row = NODES.objectNode().put("second", second).put("model", model);
      for (String field : List.of("heads", "suspected", "open", "places", "waitingTokens")) {
        row.put(field, line.path(field).asLong());
      }
      rows.put(String.format("%08d %s", second, model), row);
    }
    return NODES.arrayNode().addAll(rows.values());
  }

  /** Returns the state of the boxes over time; the last line of each period counts. */
  private ArrayNode boxes() {
    Map<Integer, ObjectNode> rows = new TreeMap<>();
    for (JsonNode line : log.withEvent("fleet_state")) {
      int second = periodStartSecond(line);
      rows.put(
          second,
          NODES.objectNode().put("second", second).put("boxes", line.path("boxes").asText()));
    }
    return NODES.arrayNode().addAll(rows.values());
  }

  /**
   * Returns a row for each restore of the store from an older copy: when the processes noticed it,
   * and when the last of them had listed each topic again.
   */
  private ArrayNode storeEras() {
    Map<Long, ObjectNode> rows = new TreeMap<>();
    for (JsonNode line : log.withEvent("store_era")) {
      long era = line.path("new").asLong();
      ObjectNode row =
          rows.computeIfAbsent(
              era,
              key ->
                  NODES
                      .objectNode()
                      .put("era", era)
                      .put("fromSecond", round(log.secondsSinceStart(line)))
                      .put("processes", 0));
      row.put("toSecond", round(log.secondsSinceStart(line)));
      row.put("processes", row.path("processes").asInt() + 1);
    }
    for (JsonNode line : log.withEvent("topic_listed_in_new_era")) {
      ObjectNode row = rows.get(line.path("era").asLong());
      if (row != null) {
        row.put(line.path("topic").asText() + "ListedBySecond", round(log.secondsSinceStart(line)));
      }
    }
    return NODES.arrayNode().addAll(rows.values());
  }

  private int periodStartSecond(JsonNode line) {
    return (int) (log.secondsSinceStart(line) / STATE_PERIOD_SECONDS) * STATE_PERIOD_SECONDS;
  }

  /** Rounds seconds to milliseconds. */
  static double round(double seconds) {
    return Math.round(seconds * 1e3) / 1e3;
  }
}
