package org.shoreroad.it;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.shoreroad.LoadName;
import org.shoreroad.standins.EngineEvent;

/** Compares what engines did with what callers were told, and finds every broken promise. */
final class HistoryChecker {
  private static final Pattern ENGINE_ID = Pattern.compile("\"id\":\"(req-[^\"]*)\"");
  private static final Pattern CONTENT = Pattern.compile("\"content\":\"([^\"]*)\"");

  private HistoryChecker() {}

  /** Returns what is wrong, empty if nothing is. */
  static List<String> findViolations(List<EngineEvent> events, List<CallerOutcome> outcomes) {
    List<String> found = new ArrayList<>();
    Map<String, Integer> starts = countStarts(events);
    for (CallerOutcome outcome : outcomes) {
      checkOutcome(outcome, starts, found);
    }
    checkWholeness(events, wholeEngineIds(outcomes, found), found);
    return found;
  }

  private static Map<String, Integer> countStarts(List<EngineEvent> events) {
    Map<String, Integer> starts = new HashMap<>();
    for (EngineEvent event : events) {
      if (event.kind().equals("start")) {
        starts.merge(event.prompt(), 1, Integer::sum);
        starts.merge("id:" + callerId(event.requestId()), 1, Integer::sum);
      }
    }
    return starts;
  }

  /** An engine sees the caller's request id with the attempt's number behind it. */
  private static String callerId(String engineId) {
    return engineId.replaceFirst("-[0-9]+$", "");
  }

  private static void checkOutcome(
      CallerOutcome outcome, Map<String, Integer> starts, List<String> found) {
    Site.Answer answer = outcome.answer();
    int runs = starts.getOrDefault(outcome.prompt(), 0);
    if (!outcome.isRepeatable() && runs > 1) {
      found.add("ran " + runs + " times: " + outcome.prompt());
    }
    String id = answer.headers().get("x-request-id");
    boolean isToldNotRun = answer.status() != 200 && answer.verdict().equals("not_run");
    if (isToldNotRun && id != null && starts.containsKey("id:" + id)) {
      found.add("told not_run but ran: " + outcome.prompt());
    }
    if (answer.status() == 200) {
      boolean isCutStream =
          answer.body().startsWith("data:") && !answer.body().endsWith("data: [DONE]\n\n");
      String wanted = expectedText(outcome);
      String got = text(answer.body());
      if (isCutStream || !got.equals(wanted)) {
        found.add("not its own whole answer: " + outcome.prompt() + ", got: " + got);
      }
    }
  }

  private static String expectedText(CallerOutcome outcome) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < outcome.tokens(); i++) {
      text.append(outcome.prompt()).append('.').append(i).append(' ');
    }
    return text.toString();
  }

  private static String text(String body) {
    StringBuilder text = new StringBuilder();
    Matcher matcher = CONTENT.matcher(body);
    while (matcher.find()) {
      text.append(matcher.group(1));
    }
    return text.toString();
  }

  /** Returns the engine's ids of the attempts that whole answers came from. */
  private static Set<String> wholeEngineIds(List<CallerOutcome> outcomes, List<String> found) {
    Set<String> ids = new HashSet<>();
    for (CallerOutcome outcome : outcomes) {
      if (outcome.answer().status() == 200) {
        Set<String> own = new HashSet<>();
        Matcher matcher = ENGINE_ID.matcher(outcome.answer().body());
        while (matcher.find()) {
          own.add(matcher.group(1));
        }
        if (own.size() != 1) {
          found.add("not of exactly one attempt: " + outcome.prompt() + " " + own);
        }
        ids.addAll(own);
      }
    }
    return ids;
  }

  /** Replays the loads and kills, and looks at every run that was answered whole. */
  private static void checkWholeness(
      List<EngineEvent> events, Set<String> wholeIds, List<String> found) {
    Map<Long, Set<String>> boxesOf = new HashMap<>();
    for (EngineEvent event : events) {
      if (event.kind().equals("load")) {
        boxesOf.computeIfAbsent(generation(event.name()), g -> new HashSet<>()).add(event.box());
      }
    }
    Map<String, Set<Long>> heldByBox = new HashMap<>();
    Map<String, Long> openGenerations = new HashMap<>();
    for (EngineEvent event : events) {
      replay(event, heldByBox);
      long generation = event.name().isEmpty() ? 0 : generation(event.name());
      switch (event.kind()) {
        case "start" -> {
          openGenerations.put(event.requestId(), generation);
          expectHeld(event, boxesOf, heldByBox, wholeIds, found);
          expectNoSharedBox(event, generation, openGenerations, boxesOf, found);
        }
        case "end" -> {
          expectHeld(event, boxesOf, heldByBox, wholeIds, found);
          openGenerations.remove(event.requestId());
        }
        case "failed" -> openGenerations.remove(event.requestId());
        default -> {}
      }
    }
  }

  private static void replay(EngineEvent event, Map<String, Set<Long>> heldByBox) {
    Set<Long> held = heldByBox.computeIfAbsent(event.box(), b -> new HashSet<>());
    switch (event.kind()) {
      case "load" -> held.add(generation(event.name()));
      case "unload" -> held.remove(generation(event.name()));
      case "kill" -> held.clear();
      default -> {}
    }
  }

  private static void expectHeld(
      EngineEvent event,
      Map<Long, Set<String>> boxesOf,
      Map<String, Set<Long>> heldByBox,
      Set<String> wholeIds,
      List<String> found) {
    if (!wholeIds.contains(event.requestId())) {
      return;
    }
    long generation = generation(event.name());
    for (String box : boxesOf.getOrDefault(generation, Set.of())) {
      if (!heldByBox.getOrDefault(box, Set.of()).contains(generation)) {
        found.add(
            "answered whole while "
                + box
                + " was missing at its "
                + event.kind()
                + ": "
                + event.requestId());
      }
    }
  }

  private static void expectNoSharedBox(
      EngineEvent event,
      long generation,
      Map<String, Long> openGenerations,
      Map<Long, Set<String>> boxesOf,
      List<String> found) {
    for (long other : new HashSet<>(openGenerations.values())) {
      Set<String> shared = new HashSet<>(boxesOf.getOrDefault(other, Set.of()));
      shared.retainAll(boxesOf.getOrDefault(generation, Set.of()));
      if (other != generation && !shared.isEmpty()) {
        found.add(shared + " serve generations " + other + " and " + generation + " at once");
      }
    }
  }

  private static long generation(String loadName) {
    return LoadName.parse(loadName).generation();
  }
}
