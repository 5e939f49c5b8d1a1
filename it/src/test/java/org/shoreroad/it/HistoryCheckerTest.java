package org.shoreroad.it;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.shoreroad.standins.EngineEvent;

/** The checker finds what it is there to find. */
class HistoryCheckerTest {
  private final List<EngineEvent> events = new ArrayList<>();

  private void event(String box, String kind, String name, String id, String prompt) {
    events.add(new EngineEvent(events.size(), box, kind, name, id, prompt));
  }

  private void load(long generation, String... boxes) {
    for (String box : boxes) {
      event(box, "load", "m~" + generation + "~x", "", "");
    }
  }

  private void run(String box, long generation, String id, String prompt) {
    event(box, "start", "m~" + generation + "~x", id, prompt);
    event(box, "end", "m~" + generation + "~x", id, "");
  }

  private static CallerOutcome outcome(String id, String prompt, int status, String body) {
    return new CallerOutcome(
        prompt, 1, false, new Site.Answer(status, body, Map.of("x-request-id", id)));
  }

  private static CallerOutcome whole(String id, String prompt) {
    return outcome(id, prompt, 200, "{\"id\":\"" + id + "-1\",\"content\":\"" + prompt + ".0 \"}");
  }

  @Test
  void testFindViolations_noneInGoodHistory() {
    load(1, "a", "b");
    run("a", 1, "req-r-1", "p");
    assertThat(HistoryChecker.findViolations(events, List.of(whole("req-r", "p"))), empty());
  }

  @Test
  void testFindViolations_secondRun() {
    load(1, "a", "b");
    run("a", 1, "req-r-1", "p");
    run("a", 1, "req-s-1", "p");
    expect("ran 2 times", whole("req-r", "p"));
  }

  @Test
  void testFindViolations_wrongNotRun() {
    load(1, "a", "b");
    run("a", 1, "req-r-1", "p");
    expect("told not_run", outcome("req-r", "p", 503, "{\"verdict\":\"not_run\"}"));
  }

  @Test
  void testFindViolations_mixedAnswer() {
    expect("not its own", outcome("r", "p", 200, "{\"content\":\"q.0 \"}"));
  }

  @Test
  void testFindViolations_cutStreamTakenAsWhole() {
    expect("not its own", outcome("r", "p", 200, "data: {\"content\":\"p.0 \"}\n\n"));
  }

  @Test
  void testFindViolations_twoAttemptsInOneAnswer() {
    String body = "{\"id\":\"req-r-1\"},{\"id\":\"req-r-2\",\"content\":\"p.0 \"}";
    expect("not of exactly one attempt", outcome("req-r", "p", 200, body));
  }

  @Test
  void testFindViolations_earlierAttemptMayFail() {
    load(1, "a", "b");
    event("a", "start", "m~1~x", "req-r-1", "p");
    event("b", "kill", "", "", "");
    event("a", "end", "m~1~x", "req-r-1", "");
    load(2, "c", "d");
    run("c", 2, "req-r-2", "p");
    CallerOutcome outcome =
        new CallerOutcome(
            "p",
            1,
            true,
            new Site.Answer(
                200, "{\"id\":\"req-r-2\",\"content\":\"p.0 \"}", Map.of("x-request-id", "req-r")));
    assertThat(HistoryChecker.findViolations(events, List.of(outcome)), empty());
  }

  @Test
  void testFindViolations_boxMissingAtStart() {
    load(1, "a", "b");
    event("b", "kill", "", "", "");
    run("a", 1, "req-r-1", "p");
    expect("b was missing", whole("req-r", "p"));
  }

  @Test
  void testFindViolations_boxKilledWhileRunning() {
    load(1, "a", "b");
    event("a", "start", "m~1~x", "req-r-1", "p");
    event("b", "kill", "", "", "");
    event("a", "end", "m~1~x", "req-r-1", "");
    expect("b was missing", whole("req-r", "p"));
  }

  @Test
  void testFindViolations_boxInTwoReplicas() {
    load(1, "a", "b");
    load(2, "b", "c");
    event("a", "start", "m~1~x", "req-r-1", "p");
    event("b", "start", "m~2~x", "req-s-1", "q");
    expect("at once", whole("req-r", "p"));
  }

  private void expect(String violation, CallerOutcome... outcomes) {
    assertThat(
        HistoryChecker.findViolations(events, List.of(outcomes)),
        hasItem(containsString(violation)));
  }
}
