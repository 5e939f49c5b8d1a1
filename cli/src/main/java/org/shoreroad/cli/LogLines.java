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
 * The lines that processes wrote, of one or several files, in the order of their times.
 *
 * <p>What stands before the first brace of a line is passed over, so that files which carry a time
 * or a name in front of each line can be read as they are. A line that is no JSON object with a
 * time is counted and passed over.
 */
final class LogLines {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final List<JsonNode> lines = new ArrayList<>();
  private int unreadable;

  private LogLines() {}

  /**
   * Reads files.
   *
   * @throws CommandException if a file can't be opened; the message names it
   */
  static LogLines read(List<String> files) {
    LogLines read = new LogLines();
    for (String file : files) {
      // This reader replaces bytes that are no text, so that they don't end the reading.
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

  /** Returns the lines, the oldest first. */
  List<JsonNode> all() {
    return lines;
  }

  /** Returns the lines of one kind of event, the oldest first. */
  List<JsonNode> of(String event) {
    return lines.stream().filter(line -> line.path("event").asText().equals(event)).toList();
  }

  /** Returns how many lines could not be read. */
  int unreadable() {
    return unreadable;
  }

  /** Returns how many lines the processes left out since there were too many of their kind. */
  long omitted() {
    return lines.stream().mapToLong(line -> line.path("omittedBefore").asLong()).sum();
  }

  /** Returns how long after the first line a line was written, in seconds. */
  double secondsOf(JsonNode line) {
    return lines.isEmpty() ? 0 : (timeMs(line) - timeMs(lines.get(0))) / 1e3;
  }

  static long timeMs(JsonNode line) {
    return line.path("timeMs").asLong();
  }
}
