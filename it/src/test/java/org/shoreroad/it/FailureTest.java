package org.shoreroad.it;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Callers go on while something fails; afterwards the checker reads the whole history. */
class FailureTest {
  private static final int CALLERS = 24;
  private static final int WHOLE_BEFORE = 60;
  private static final int WHOLE_AFTER = 60;

  /** A failure and, where it ends by itself or by a call, its end. */
  private enum Failure {
    BOX_KILLED {
      @Override
      void begin(Site site) {
        site.engines.get("d1-b2").kill();
      }

      @Override
      void end(Site site) {
        site.engines.get("d1-b2").revive();
      }
    },
    HEAD_KILLED {
      @Override
      void begin(Site site) {
        site.engines.get("d1-b1").kill();
      }

      @Override
      void end(Site site) {
        site.engines.get("d1-b1").revive();
      }
    },
    BOX_RESTARTED {
      @Override
      void begin(Site site) {
        site.engines.get("d1-b3").kill();
        site.engines.get("d1-b3").revive();
      }
    },
    BOX_FROZEN {
      @Override
      void begin(Site site) {
        site.engines.get("d1-b2").setFrozen(true);
        Site.sleep(4_000);
      }

      @Override
      void end(Site site) {
        site.engines.get("d1-b2").setFrozen(false);
      }
    },
    DOMAIN_DARK {
      @Override
      void begin(Site site) {
        site.engines.forEach(
            (name, engine) -> {
              if (name.startsWith("d1")) {
                engine.kill();
              }
            });
      }
    },
    STREAMS_CUT {
      @Override
      void begin(Site site) {
        site.engines.values().forEach(engine -> engine.setCutAfterTokens(3));
        Site.sleep(1_500);
      }

      @Override
      void end(Site site) {
        site.engines.values().forEach(engine -> engine.setCutAfterTokens(0));
      }
    },
    LOG_DOWN {
      @Override
      void begin(Site site) {
        site.log.setDown(true);
        Site.sleep(4_000);
      }

      @Override
      void end(Site site) {
        site.log.setDown(false);
      }
    },
    LOG_SLOW {
      @Override
      void begin(Site site) {
        site.log.setDelayMs(700);
        Site.sleep(3_000);
      }

      @Override
      void end(Site site) {
        site.log.setDelayMs(0);
      }
    },
    BOX_SLOW {
      @Override
      void begin(Site site) {
        site.engines.get("d1-b1").setTokenDelayMs(15);
        Site.sleep(1_500);
      }

      @Override
      void end(Site site) {
        site.engines.get("d1-b1").setTokenDelayMs(1);
      }
    },
    LOG_ANSWERS_LOST {
      @Override
      void begin(Site site) {
        site.log.loseAnswers(60);
        Site.sleep(1_500);
      }
    },
    LOG_DOWN_AND_BOX_KILLED {
      @Override
      void begin(Site site) {
        site.log.setDown(true);
        site.engines.get("d1-b2").kill();
        Site.sleep(3_000);
      }

      @Override
      void end(Site site) {
        site.log.setDown(false);
        site.engines.get("d1-b2").revive();
      }
    },
    DAEMON_STOPPED {
      @Override
      void begin(Site site) {
        site.daemons.get(2).stopNow();
      }
    },
    DAEMON_DRAINED {
      @Override
      void begin(Site site) {
        site.daemons.get(2).drainAndStop();
      }
    };

    abstract void begin(Site site);

    void end(Site site) {}
  }

  @ParameterizedTest
  @CsvSource({
    "BOX_KILLED,false",
    "HEAD_KILLED,true",
    "BOX_RESTARTED,false",
    "BOX_FROZEN,false",
    "DOMAIN_DARK,true",
    "STREAMS_CUT,false",
    "LOG_DOWN,false",
    "LOG_SLOW,false",
    "BOX_SLOW,true",
    "LOG_ANSWERS_LOST,false",
    "LOG_DOWN_AND_BOX_KILLED,true",
    "DAEMON_STOPPED,false",
    "DAEMON_DRAINED,false"
  })
  void testFailure_keepsEveryPromise(Failure failure, boolean isFenced) {
    try (Site site = Site.start(3, 2, 5, isFenced)) {
      site.configure(2);
      site.awaitServing(2);
      try (Callers callers = Callers.start(site, CALLERS, failure.ordinal())) {
        site.await("work before", () -> callers.wholeCount() >= WHOLE_BEFORE);
        failure.begin(site);
        failure.end(site);
        long whole = callers.wholeCount();
        site.await("work after", () -> callers.wholeCount() >= whole + WHOLE_AFTER);
        List<CallerOutcome> outcomes = callers.stop();
        assertThat(HistoryChecker.findViolations(site.history.events(), outcomes), is(empty()));
        assertThat(outcomes.size(), greaterThan(WHOLE_BEFORE + WHOLE_AFTER));
      }
    }
  }
}
