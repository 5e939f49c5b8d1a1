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

/** Table of what upstreams asked for in their answers: limits, rests, and to be left. */
final class AskedTable {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private final LogLines log;
  private final Map<String, ObjectNode> rows = new LinkedHashMap<>();
  private final Map<String, Set<String>> nodesOfRows = new LinkedHashMap<>();

  private AskedTable(LogLines log) {
    this.log = log;
  }

  /**
   * Returns a row for each upstream and each thing that it asked for: how often and by how many
   * processes it was logged, from when to when, and the last figure.
   */
  static ArrayNode of(LogLines log) {
    AskedTable table = new AskedTable(log);
    table.add("upstream_limit", "limit", "perSecond");
    table.add("upstream_limit_ended", "limit_ended", "perSecond");
    table.add("upstream_rest", "rest", "seconds");
    table.add("upstream_leaving", "leaving", "");
    return NODES.arrayNode().addAll(List.copyOf(table.rows.values()));
  }

  private void add(String event, String what, String figure) {
    for (JsonNode line : log.of(event)) {
      String upstream = line.path("upstream").asText();
      String key = upstream + "/" + what;
      double second = LogReport.round(log.secondsOf(line));
      ObjectNode row =
          rows.computeIfAbsent(
              key,
              added ->
                  NODES
                      .objectNode()
                      .put("upstream", upstream)
                      .put("asked", what)
                      .put("count", 0L)
                      .put("processes", 0)
                      .put("fromSecond", second));
      Set<String> nodes = nodesOfRows.computeIfAbsent(key, added -> new HashSet<>());
      nodes.add(line.path("node").asText());
      row.put("count", row.path("count").asLong() + 1);
      row.put("processes", nodes.size());
      row.put("toSecond", second);
      row.put("lastFigure", line.path(figure).asText());
    }
  }
}
