package org.shoreroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Table of the evacuations of availability zones and their withdrawals: when the first and the last
 * process learned of each, and how many did.
 */
final class ZoneTable {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private ZoneTable() {}

  /** Returns a row for each record of a zone, by the time at which it was first learned. */
  static ArrayNode of(LogLines log) {
    Map<String, ObjectNode> rows = new LinkedHashMap<>();
    for (JsonNode line : log.all()) {
      String event = line.path("event").asText();
      if (event.equals("zone_evacuated") || event.equals("zone_returned")) {
        addTo(rows, line, event, LogReport.round(log.secondsSinceStart(line)));
      }
    }
    return NODES.arrayNode().addAll(List.copyOf(rows.values()));
  }

  private static void addTo(
      Map<String, ObjectNode> rows, JsonNode line, String event, double second) {
    String zone = line.path("zone").asText();
    String key = zone + "/" + line.path("era").asText() + "/" + line.path("offset").asText();
    ObjectNode row =
        rows.computeIfAbsent(
            key,
            added ->
                NODES
                    .objectNode()
                    .put("zone", zone)
                    .put("what", event)
                    .put("isKnown", line.path("isKnown").asBoolean())
                    .put("processes", 0)
                    .put("toldByPeer", 0)
                    .put("fromSecond", second));
    row.put("processes", row.path("processes").asInt() + 1);
    int told = line.path("by").asText().equals("peer") ? 1 : 0;
    row.put("toldByPeer", row.path("toldByPeer").asInt() + told);
    row.put("toSecond", second);
  }
}
