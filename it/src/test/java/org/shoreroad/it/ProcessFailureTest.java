package org.shoreroad.it;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Real processes: killed, frozen beyond every limit and thawed, stopped by plan; two at once. */
class ProcessFailureTest {
  private static final int DAEMONS = 4;
  private static final int CALLERS = 16;
  private static final int WHOLE = 40;

  private final Processes processes = new Processes();
  private final Site site = Site.start(0, 2, 5, false);
  private Callers callers;

  @BeforeEach
  void startDaemons() throws Exception {
    for (int i = 0; i < DAEMONS; i++) {
      processes.start(site, "p" + i);
    }
    site.await("all ready", () -> site.opsUrls.stream().allMatch(site::isReady));
    site.configure(2);
    site.awaitServing(2);
    callers = Callers.start(site, CALLERS, 5);
    awaitWork("before");
  }

  @AfterEach
  void stopAll() {
    callers.close();
    processes.close();
    site.close();
  }

  private void awaitWork(String when) {
    long whole = callers.wholeCount();
    site.await("work " + when, () -> callers.wholeCount() >= whole + WHOLE);
  }

  private void expectNoViolation() {
    List<CallerOutcome> outcomes = callers.stop();
    assertThat(HistoryChecker.findViolations(site.history.events(), outcomes), is(empty()));
  }

  @Test
  void testKill_keepsEveryPromise() {
    processes.kill(1);
    awaitWork("after the kill");
    awaitWork("still");
    expectNoViolation();
  }

  @Test
  void testFreeze_keepsEveryPromise() throws Exception {
    processes.freeze(1);
    awaitWork("while frozen");
    Site.sleep(8_000);
    processes.thaw(1);
    awaitWork("after the thaw");
    Site.sleep(1_000);
    expectNoViolation();
  }

  @Test
  void testFreezeAndBoxKilled_keepsEveryPromise() throws Exception {
    processes.freeze(2);
    site.engines.get("d1-b2").kill();
    site.engines.get("d2-b1").kill();
    Site.sleep(8_000);
    processes.thaw(2);
    awaitWork("after the thaw");
    Site.sleep(1_000);
    expectNoViolation();
  }

  @Test
  void testFreezeWhileLogIsDown_keepsEveryPromise() throws Exception {
    site.log.setDown(true);
    processes.freeze(0);
    Site.sleep(6_000);
    processes.thaw(0);
    Site.sleep(1_000);
    site.log.setDown(false);
    awaitWork("after both");
    expectNoViolation();
  }

  @Test
  void testTerminate_endsWithZeroAndCutsNothingOff() throws Exception {
    processes.terminate(3);
    assertThat(processes.awaitExit(3), is(0));
    awaitWork("after the stop");
    List<CallerOutcome> outcomes = callers.stop();
    assertThat(HistoryChecker.findViolations(site.history.events(), outcomes), is(empty()));
    List<String> cut =
        outcomes.stream()
            .filter(o -> o.answer().status() == 0 || o.answer().verdict().equals("may_have_run"))
            .filter(o -> !o.answer().code().equals("already_started"))
            .map(Object::toString)
            .toList();
    assertThat(cut, is(empty()));
  }
}
