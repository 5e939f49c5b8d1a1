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

  /** Adds up what the logs of several processes say. */
  @Command(
      name = "report",
      description = "Adds up logs: refusals, repeats, late answers, losses, models and boxes.")
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

  /** Shows what happened to a request, from the logs or by the process that took it. */
  @Command(
      name = "explain",
      description = "Shows where a request went and why it was refused, repeated or late.")
  @Examples(
      examples = {"shoreroadctl explain 0f12502215346e8b *.log", "shoreroadctl explain req-4c1f"},
      descriptions = {"From the logs of all processes.", "Ask the process that took the request."})
  public static final class Explain extends CtlCommand {
    /** A line on an upstream counts this long before and after a line on the request. */
    private static final long NEAR_MS = 3_000;

    private static final List<String> UPSTREAM_EVENTS =
        List.of("replica_suspected", "box_silent", "box_order", "replica_open");

    private static final List<String> STORE_EVENTS =
        List.of("store_era", "topic_listed_in_new_era", "store_lost", "store_reached");

    @Required
    @Arguments(
        title = {"request-id", "log"},
        description = "The request's id, then the logs, if it is to be looked for there.")
    List<String> arguments = new ArrayList<>();

    @Override
    ExitCode run(PrintStream out, Map<String, String> environment) {
      String id = arguments.get(0);
      List<String> files = arguments.subList(1, arguments.size());
      if (files.isEmpty()) {
        print(out, client(environment).get("explain/" + id));
        return ExitCode.OK;
      }
      ArrayNode lines = linesOn(id, LogLines.read(files));
      if (lines.isEmpty()) {
        throw new CommandException(
            ExitCode.REFUSED, "no line on request " + id + ": it was served, or left out");
      }
      print(out, lines);
      return ExitCode.OK;
    }

    /** Returns the lines on the request, and those on its upstreams at that time. */
    private static ArrayNode linesOn(String id, LogLines log) {
      Set<JsonNode> own = new LinkedHashSet<>();
      Set<String> upstreams = new LinkedHashSet<>();
      for (JsonNode line : log.all()) {
        if (line.path("request").asText().equals(id)) {
          own.add(line);
          upstreams.add(line.path("upstream").asText());
        }
      }
      ArrayNode rows = JsonNodeFactory.instance.arrayNode();
      for (JsonNode line : log.all()) {
        boolean isRelated = isOnAny(line, upstreams) || isOnStore(line, own);
        if (own.contains(line) || (isRelated && isNearAny(line, own))) {
          rows.add(toRow(line, log));
        }
      }
      return rows;
    }

    private static boolean isOnAny(JsonNode line, Set<String> upstreams) {
      String box = line.path("box").asText(line.path("head").asText());
      return UPSTREAM_EVENTS.contains(line.path("event").asText())
          && !box.isEmpty()
          && upstreams.contains(box);
    }

    /** Returns true if a process that had the request noticed that the store went back. */
    private static boolean isOnStore(JsonNode line, Set<JsonNode> own) {
      return STORE_EVENTS.contains(line.path("event").asText())
          && own.stream().anyMatch(other -> other.path("node").equals(line.path("node")));
    }

    private static boolean isNearAny(JsonNode line, Set<JsonNode> others) {
      return others.stream()
          .anyMatch(other -> Math.abs(LogLines.timeMs(other) - LogLines.timeMs(line)) <= NEAR_MS);
    }

    private static ObjectNode toRow(JsonNode line, LogLines log) {
      ObjectNode row = JsonNodeFactory.instance.objectNode();
      row.put("second", log.secondsOf(line));
      row.put("node", line.path("node").asText());
      row.put("event", line.path("event").asText());
      ObjectNode rest = line.deepCopy();
      rest.remove(List.of("timeMs", "node", "event", "request"));
      row.set("what", rest);
      return row;
    }
  }
}
