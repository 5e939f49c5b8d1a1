package org.shoreroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Formats JSON rows as a plain-text table. */
final class Table {
  private Table() {}

  /** Returns the table: a header line, then one line for each row. */
  static String of(JsonNode rows) {
    Set<String> columns = new LinkedHashSet<>();
    rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
    List<List<String>> lines = new ArrayList<>();
    lines.add(columns.stream().map(c -> c.toUpperCase(java.util.Locale.ROOT)).toList());
    for (JsonNode row : rows) {
      lines.add(columns.stream().map(column -> cell(row.path(column))).toList());
    }
    StringBuilder text = new StringBuilder();
    for (List<String> line : lines) {
      for (int i = 0; i < line.size(); i++) {
        text.append(pad(line.get(i), width(lines, i) + 2));
      }
      text.append(System.lineSeparator());
    }
    return text.toString();
  }

  private static int width(List<List<String>> lines, int column) {
    return lines.stream().mapToInt(line -> line.get(column).length()).max().orElse(0);
  }

  private static String pad(String text, int width) {
    return text + " ".repeat(Math.max(0, width - text.length()));
  }

  private static String cell(JsonNode value) {
    if (value.isMissingNode()) {
      return "-";
    }
    if (value.isArray()) {
      List<String> parts = new ArrayList<>();
      value.forEach(part -> parts.add(part.asText()));
      return String.join(",", parts);
    }
    if (value.isObject()) {
      List<String> parts = new ArrayList<>();
      value
          .properties()
          .forEach(field -> parts.add(field.getKey() + "=" + field.getValue().asText()));
      return String.join(",", parts);
    }
    return value.asText().isEmpty() ? "-" : value.asText();
  }
}
