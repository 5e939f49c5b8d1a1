package org.shoreroad.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TurnPacerTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  @Test
  void theFirstTurnComesAfterHalfAnInterval() {
    TurnPacer pacer = new TurnPacer(SECOND, 0);
    assertThat(pacer.hasTurn(0), is(false));
    assertThat(pacer.hasTurn(SECOND / 2), is(true));
  }

  @Test
  void aTurnMayBeUsedHalfAnIntervalEarlyButNotRepeatedly() {
    TurnPacer pacer = new TurnPacer(SECOND, 0);
    pacer.take(2 * SECOND);
    assertThat(pacer.hasTurn(2 * SECOND + SECOND / 2 - 1), is(false));
    pacer.take(2 * SECOND + SECOND / 2);
    assertThat(pacer.hasTurn(3 * SECOND + SECOND / 2 - 1), is(false));
    assertThat(pacer.hasTurn(3 * SECOND + SECOND / 2), is(true));
  }

  @Test
  void unusedTurnsDoNotAccumulate() {
    TurnPacer pacer = new TurnPacer(SECOND, 0);
    pacer.take(60 * SECOND);
    pacer.take(60 * SECOND + SECOND / 2);
    assertThat(pacer.hasTurn(60 * SECOND + SECOND), is(false));
  }

  @Test
  void aShorterIntervalAppliesAtOnce() {
    TurnPacer pacer = new TurnPacer(10 * SECOND, 0);
    pacer.setInterval(SECOND, 0);
    assertThat(pacer.hasTurn(SECOND / 2), is(true));
  }

  @Test
  void aNewHolderStartsWithAPause() {
    TurnPacer pacer = new TurnPacer(SECOND, 0);
    pacer.restart(9 * SECOND);
    assertThat(pacer.hasTurn(9 * SECOND), is(false));
    assertThat(pacer.hasTurn(9 * SECOND + SECOND / 2), is(true));
  }
}
