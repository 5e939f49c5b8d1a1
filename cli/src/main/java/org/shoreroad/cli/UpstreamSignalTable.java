package org.shoreroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Table of the signals that upstreams sent in their answers: rate limits, pauses and announcements
 * that they are leaving.
 */
final class UpstreamSignalTable {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private final LogLines log;
  private final Map<String, ObjectNode> rows = new LinkedHashMap<>();
  private final Map<String, Set<String>> nodesByRow = new LinkedHashMap<>();

  private UpstreamSignalTable(LogLines log) {
    this.log = log;
  }

  /**
   * Returns a row for each upstream and signal: the number of log lines and of processes that wrote
   * them, the times of the first and the last line, and the last value.
   */
  static ArrayNode of(LogLines log) {
    UpstreamSignalTable table = new UpstreamSignalTable(log);
    table.add("upstream_limit", "limit", "perSecond");
    table.add("upstream_limit_ended", "limit_ended", "perSecond");
    table.add("upstream_rest", "rest", "seconds");
    table.add("upstream_leaving", "leaving", "");
    table.add("upstream_cold", "cold", "by");
    return NODES.arrayNode().addAll(List.copyOf(table.rows.values()));
  }

  private void add(String event, String signal, String valueField) {
    for (JsonNode line : log.withEvent(event)) {
      String upstream = line.path("upstream").asText();
      String key = upstream + "/" + signal;
      double second = LogReport.round(log.secondsSinceStart(line));
      ObjectNode row =
          rows.computeIfAbsent(
              key,
              added ->
                  NODES
                      .objectNode()
                      .put("upstream", upstream)
                      .put("asked", signal)
                      .put("count", 0L)
                      .put("processes", 0)
                      .put("fromSecond", second));
      Set<String> nodes = nodesByRow.computeIfAbsent(key, added -> new HashSet<>());
      nodes.add(line.path("node").asText());
      row.put("count", row.path("count").asLong() + 1);
      row.put("processes", nodes.size());
      row.put("toSecond", second);
      row.put("lastFigure", line.path(valueField).asText());
    }
  }
}
