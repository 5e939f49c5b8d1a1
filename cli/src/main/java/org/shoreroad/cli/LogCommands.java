package org.shoreroad.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The commands that read logs. */
final class LogCommands {
  private LogCommands() {}

  /** Summarizes the logs of several processes. */
  @Command(
      name = "report",
      description =
          "Summarizes logs: refusals, failed attempts, late answers, losses, models, boxes, room.")
  @Examples(
      examples = "shoreroadctl report front-1.log front-2.log",
      descriptions = "The logs of all processes of a site.")
  public static final class Report extends CtlCommand {
    @Required
    @Arguments(title = "log", description = "The files, one or more.")
    List<String> files = new ArrayList<>();

    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      print(out, LogReport.of(LogLines.read(files)));
      return ExitCode.OK;
    }
  }

  /** Shows what happened to a request, from the logs or from the process that accepted it. */
  @Command(
      name = "explain",
      description = "Shows the upstreams of a request and why it was refused, retried or late.")
  @Examples(
      examples = {"shoreroadctl explain 0f12502215346e8b *.log", "shoreroadctl explain req-4c1f"},
      descriptions = {
        "From the logs of all processes.",
        "From the process that accepted the request."
      })
  public static final class Explain extends CtlCommand {
    /**
     * Greatest distance between a line about an upstream or the store and a line about the request
     * for the former to be shown, in milliseconds.
     */
    private static final long RELATED_WINDOW_MS = 3_000;

    private static final List<String> UPSTREAM_EVENTS =
        List.of("replica_suspected", "box_silent", "box_order", "replica_open");

    private static final List<String> STORE_EVENTS =
        List.of(
            "store_era",
            "topic_listed_in_new_era",
            "store_lost",
            "store_reached",
            "zone_evacuated",
            "zone_returned");

    @Required
    @Arguments(
        title = {"request-id", "log"},
        description = "The request's id, then the log files to search, if any.")
    List<String> arguments = new ArrayList<>();

    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      String id = arguments.get(0);
      List<String> files = arguments.subList(1, arguments.size());
      if (files.isEmpty()) {
        print(out, client(environment).get("explain/" + id));
        return ExitCode.OK;
      }
      ArrayNode lines = linesAbout(id, LogLines.read(files));
      if (lines.isEmpty()) {
        throw new CommandException(
            ExitCode.REFUSED,
            "no line about request " + id + ": it succeeded, or its lines were omitted");
      }
      print(out, lines);
      return ExitCode.OK;
    }

    /** Returns the lines about the request, and those about its upstreams and the store then. */
    private static ArrayNode linesAbout(String id, LogLines log) {
      Set<JsonNode> requestLines = new LinkedHashSet<>();
      Set<String> upstreams = new LinkedHashSet<>();
      for (JsonNode line : log.all()) {
        if (line.path("request").asText().equals(id)) {
          requestLines.add(line);
          upstreams.add(line.path("upstream").asText());
        }
      }
      ArrayNode rows = JsonNodeFactory.instance.arrayNode();
      for (JsonNode line : log.all()) {
        boolean isRelated = isUpstreamEvent(line, upstreams) || isStoreEvent(line, requestLines);
        if (requestLines.contains(line) || (isRelated && isNearAny(line, requestLines))) {
          rows.add(toRow(line, log));
        }
      }
      return rows;
    }

    private static boolean isUpstreamEvent(JsonNode line, Set<String> upstreams) {
      String box = line.path("box").asText(line.path("head").asText());
      return UPSTREAM_EVENTS.contains(line.path("event").asText())
          && !box.isEmpty()
          && upstreams.contains(box);
    }

    /**
     * Returns true for a store event, such as a restore from an older copy, that was logged by a
     * process that handled the request.
     */
    private static boolean isStoreEvent(JsonNode line, Set<JsonNode> requestLines) {
      return STORE_EVENTS.contains(line.path("event").asText())
          && requestLines.stream().anyMatch(other -> other.path("node").equals(line.path("node")));
    }

    private static boolean isNearAny(JsonNode line, Set<JsonNode> others) {
      return others.stream()
          .anyMatch(
              other ->
                  Math.abs(LogLines.timeMs(other) - LogLines.timeMs(line)) <= RELATED_WINDOW_MS);
    }

    private static ObjectNode toRow(JsonNode line, LogLines log) {
      ObjectNode row = JsonNodeFactory.instance.objectNode();
      row.put("second", log.secondsSinceStart(line));
      row.put("node", line.path("node").asText());
      row.put("event", line.path("event").asText());
      ObjectNode rest = line.deepCopy();
      rest.remove(List.of("timeMs", "node", "event", "request"));
      row.set("what", rest);
      return row;
    }
  }
}
