package org.shoreroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Tables of the room that owners of domains grant: which bound, class and client account decided on
 * refusals, the decisions and asks by result, and when room was shared. A table is present only if
 * the logs have lines for it. Not thread-safe.
 */
final class RoomTables {
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  /** Text of one count in the text of a map, as in {@code {granted=3, cache_full=1}}. */
  private static final Pattern COUNT = Pattern.compile("(.*?)=(\\d{1,18})(?:, |$)");

  private static final String GRANTED = ":granted";
  private static final String REFUSED = ":refused";

  private final LogLines log;

  private RoomTables(LogLines log) {
    this.log = log;
  }

  /** Adds the tables that have rows to {@code tables}. */
  static void addTo(ObjectNode tables, LogLines log) {
    RoomTables room = new RoomTables(log);
    addIfAny(tables, "refusalsByWhy", room.refusals("why", List.of("why", "priority", "model")));
    addIfAny(
        tables,
        "refusalsByAccount",
        room.refusals("account", List.of("account", "route", "reason")));
    addIfAny(tables, "roomDecisions", room.decisions());
    addIfAny(tables, "roomCorrections", room.corrections());
    addIfAny(tables, "roomAccounts", room.accounts());
    addIfAny(tables, "roomAsks", room.asks());
    addIfAny(tables, "roomSharing", room.sharing());
    addIfAny(tables, "conversions", room.conversions());
  }

  private static void addIfAny(ObjectNode tables, String name, ArrayNode rows) {
    if (!rows.isEmpty()) {
      tables.set(name, rows);
    }
  }

  /**
   * Counts the refusals by some fields, including omitted lines, which count as the next line.
   *
   * @param required lines without a text in this field are not counted
   */
  private ArrayNode refusals(String required, List<String> fields) {
    Map<String, ObjectNode> rows = new TreeMap<>();
    for (JsonNode line : log.withEvent("request_refused")) {
      if (!line.path(required).asText().isEmpty()) {
        List<String> values = fields.stream().map(field -> line.path(field).asText()).toList();
        ObjectNode row =
            rows.computeIfAbsent(values.toString(), key -> newRow(line, fields, values));
        add(row, "count", 1 + line.path("omittedBefore").asLong());
        row.put("toSecond", second(line));
      }
    }
    return toArray(rows);
  }

  private ObjectNode newRow(JsonNode line, List<String> fields, List<String> values) {
    ObjectNode row = NODES.objectNode();
    for (int i = 0; i < fields.size(); i++) {
      row.put(fields.get(i), values.get(i));
    }
    return row.put("count", 0L).put("fromSecond", second(line));
  }

  /** Returns the decisions of the owners, summed by model and result. */
  private ArrayNode decisions() {
    Map<String, ObjectNode> rows = new TreeMap<>();
    for (JsonNode line : log.withEvent("room_state")) {
      String model = line.path("model").asText();
      counts(line, "results")
          .forEach(
              (result, count) -> {
                ObjectNode row =
                    rows.computeIfAbsent(
                        model + "/" + result,
                        key -> NODES.objectNode().put("model", model).put("result", result));
                add(row, "count", count);
              });
    }
    return toArray(rows);
  }

  /**
   * Returns the numbers out of range that owners received. A line has the sum since the owner took
   * the model on, so the largest counts.
   */
  private ArrayNode corrections() {
    Map<String, ObjectNode> rows = new TreeMap<>();
    for (JsonNode line : log.withEvent("room_state")) {
      long corrected = line.path("corrected").asLong();
      if (corrected > 0) {
        String node = line.path("node").asText();
        String model = line.path("model").asText();
        ObjectNode row =
            rows.computeIfAbsent(
                node + "/" + model,
                key -> NODES.objectNode().put("owner", node).put("model", model));
        row.put("corrected", Math.max(corrected, row.path("corrected").asLong()));
      }
    }
    return toArray(rows);
  }

  /** Returns the grants and refusals of the owners, summed by client account. */
  private ArrayNode accounts() {
    Map<String, ObjectNode> rows = new TreeMap<>();
    for (JsonNode line : log.withEvent("room_state")) {
      counts(line, "accounts")
          .forEach(
              (key, count) -> {
                ObjectNode row = rows.computeIfAbsent(accountOf(key), RoomTables::newAccount);
                add(row, columnOf(key), count);
              });
    }
    return toArray(rows);
  }

  private static ObjectNode newAccount(String account) {
    return NODES.objectNode().put("account", account).put("granted", 0L).put("refused", 0L);
  }

  private static String accountOf(String key) {
    boolean hasResult = key.endsWith(GRANTED) || key.endsWith(REFUSED);
    return hasResult ? key.substring(0, key.lastIndexOf(':')) : key;
  }

  /** Returns the column of a count; the sum of the less frequent ones has no result. */
  private static String columnOf(String key) {
    if (key.endsWith(GRANTED)) {
      return "granted";
    }
    return key.endsWith(REFUSED) ? "refused" : "either";
  }

  /** Returns the asks for room, summed by result and its reason. */
  private ArrayNode asks() {
    Map<String, ObjectNode> rows = new TreeMap<>();
    for (JsonNode line : log.withEvent("room_asks")) {
      counts(line, "results")
          .forEach(
              (key, count) -> {
                ObjectNode row = rows.computeIfAbsent(key, RoomTables::newAsk);
                add(row, "count", count);
              });
    }
    return toArray(rows);
  }

  private static ObjectNode newAsk(String key) {
    int colon = key.indexOf(':');
    return NODES
        .objectNode()
        .put("result", colon < 0 ? key : key.substring(0, colon))
        .put("reason", colon < 0 ? "" : key.substring(colon + 1));
  }

  /** Returns how many processes began and ended to share room, and when. */
  private ArrayNode sharing() {
    Map<String, ObjectNode> rows = new TreeMap<>();
    Map<String, List<String>> nodes = new TreeMap<>();
    for (JsonNode line : log.withEvent("room_sharing")) {
      String change = line.path("isActive").asBoolean() ? "begins" : "ends";
      String node = line.path("node").asText();
      List<String> known = nodes.computeIfAbsent(change, key -> new ArrayList<>());
      if (!known.contains(node)) {
        known.add(node);
      }
      ObjectNode row =
          rows.computeIfAbsent(
              change, key -> newRow(line, List.of("sharing"), List.of(change)).put("processes", 0));
      add(row, "count", 1);
      row.put("processes", known.size());
      row.put("toSecond", second(line));
    }
    return toArray(rows);
  }

  /** Returns a row for each decision to let boxes serve another model. */
  private ArrayNode conversions() {
    ArrayNode rows = NODES.arrayNode();
    for (JsonNode line : log.withEvent("replica_conversion")) {
      ObjectNode row = NODES.objectNode().put("second", second(line));
      for (String field : List.of("domain", "closed", "pressureBefore", "pressureAfter")) {
        row.put(field, line.path(field).asText());
      }
      rows.add(row);
    }
    return rows;
  }

  /** Returns the counts in the text of a map; what isn't a count is passed over. */
  private static Map<String, Long> counts(JsonNode line, String field) {
    String text = line.path(field).asText();
    Map<String, Long> counts = new TreeMap<>();
    if (text.startsWith("{") && text.endsWith("}")) {
      Matcher matcher = COUNT.matcher(text.substring(1, text.length() - 1));
      while (matcher.find()) {
        counts.merge(matcher.group(1), Long.parseLong(matcher.group(2)), Long::sum);
      }
    }
    return counts;
  }

  private static void add(ObjectNode row, String field, long count) {
    row.put(field, row.path(field).asLong() + count);
  }

  private double second(JsonNode line) {
    return LogReport.round(log.secondsSinceStart(line));
  }

  private static ArrayNode toArray(Map<String, ObjectNode> rows) {
    return NODES.arrayNode().addAll(rows.values());
  }
}
