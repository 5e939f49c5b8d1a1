package org.shoreroad.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Log lines of several processes, read from one or more files and sorted by time.
 *
 * <p>Text before the first brace of a line is ignored, so that files with a time or a name in front
 * of each line can be read unchanged. A line that isn't a JSON object with a time and an event is
 * counted and skipped. Not thread-safe.
 */
final class LogLines {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final List<JsonNode> lines = new ArrayList<>();
  private int unreadable;

  private LogLines() {}

  /**
   * Reads log files.
   *
   * @throws CommandException if a file can't be read; the message names it
   */
  static LogLines read(List<String> files) {
    LogLines read = new LogLines();
    for (String file : files) {
      // An InputStreamReader replaces malformed UTF-8; Files.newBufferedReader would throw.
      try (BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(Files.newInputStream(Path.of(file)), StandardCharsets.UTF_8))) {
        reader.lines().forEach(read::add);
      } catch (IOException | UncheckedIOException e) {
        throw new CommandException(ExitCode.USAGE, "log " + file + " can't be read");
      }
    }
    read.lines.sort(Comparator.comparingLong(LogLines::timeMs));
    return read;
  }

  private void add(String line) {
    int begin = line.indexOf('{');
    if (begin < 0) {
      unreadable += line.isBlank() ? 0 : 1;
      return;
    }
    try {
      JsonNode parsed = JSON.readTree(line.substring(begin));
      if (parsed.path("timeMs").isNumber() && parsed.path("event").isTextual()) {
        lines.add(parsed);
      } else {
        unreadable++;
      }
    } catch (JsonProcessingException e) {
      unreadable++;
    }
  }

  /** Returns all lines, oldest first. */
  List<JsonNode> all() {
    return lines;
  }

  /** Returns the lines of one event, oldest first. */
  List<JsonNode> withEvent(String event) {
    return lines.stream().filter(line -> line.path("event").asText().equals(event)).toList();
  }

  /** Returns the number of skipped lines, without blank ones. */
  int unreadable() {
    return unreadable;
  }

  /** Returns the number of lines that the processes omitted because an event was too frequent. */
  long omitted() {
    return lines.stream().mapToLong(line -> line.path("omittedBefore").asLong()).sum();
  }

  /** Returns the time between the first line and the given line, in seconds. */
  double secondsSinceStart(JsonNode line) {
    return lines.isEmpty() ? 0 : (timeMs(line) - timeMs(lines.get(0))) / 1e3;
  }

  static long timeMs(JsonNode line) {
    return line.path("timeMs").asLong();
  }
}
