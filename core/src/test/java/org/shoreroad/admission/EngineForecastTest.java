package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;

class EngineForecastTest {
  private static final double ERROR = 1e-6;
  private static final ModelShape MODEL = new ModelShape("m", 4, 1, 0.5, 16, 1.6);
  private static final EngineForecast FORECAST =
      EngineForecast.of(
          new EngineSpec(10, 100_000, 6, 0.4, 0.1, 50_000, 1_000, 5, 8, 8, 200, List.of(MODEL)),
          MODEL);

  private static HeadLoad load(int open, long unreadTokens) {
    return new HeadLoad(open, unreadTokens, 0, 1);
  }

  @Test
  void testPass_countsStepsRunningRequestsReadingAndContext() {
    assertThat(FORECAST.passMs(load(10, 0)), closeTo(0.5 * 5 * (6 + 10 * 0.4), ERROR));
    assertThat(FORECAST.passMs(load(10, 500)), closeTo(0.5 * (5 * 10 + 10), ERROR));
    assertThat(FORECAST.passMs(new HeadLoad(10, 0, 10_000, 2)), closeTo(5 * 11, ERROR));
  }

  @Test
  void testPass_runsNoMoreThanItsSlotsAndReadsNoMoreThanItsChunks() {
    assertThat(FORECAST.passMs(load(30, 0)), is(FORECAST.passMs(load(10, 0))));
    assertThat(FORECAST.passMs(load(10, 90_000)), is(FORECAST.passMs(load(10, 5_000))));
    assertThat(FORECAST.pauseMs(load(9, 4_000), 1_000), is(FORECAST.passMs(load(10, 5_000))));
  }

  @Test
  void testFirstEvent_ofAnIdleHeadIsReadingAndOnePass() {
    double readMs = 0.5 * (6 + 10);
    double eventMs = 0.5 * 5 * 6.4;
    assertThat(FORECAST.firstEventMs(load(0, 0), 500, 20), closeTo(readMs + eventMs, ERROR));
  }

  @Test
  void testFirstEvent_waitsForHalfAPassAndForTheTokensAhead() {
    double passMs = 0.5 * 5 * 8;
    double eventMs = 0.5 * 5 * 8.4;
    double withoutReadingMs = passMs / 2 + passMs + 5 + eventMs;
    assertThat(FORECAST.firstEventMs(load(5, 0), 500, 20), closeTo(withoutReadingMs, ERROR));
    // 4,600 tokens ahead and 500 own ones take two passes.
    double aheadMs = FORECAST.firstEventMs(load(5, 4_600), 500, 20);
    assertThat(aheadMs - withoutReadingMs, greaterThan(passMs));
  }

  @Test
  void testFirstEvent_waitsForASlotOfAFullHead() {
    double freeMs = FORECAST.firstEventMs(load(9, 0), 500, 20);
    double fullMs = FORECAST.firstEventMs(load(10, 0), 500, 20);
    double slotMs = 1 / FORECAST.freedPerMs(load(10, 0), 20);
    assertThat(slotMs, closeTo(20 * 25 / 10.0, ERROR));
    assertThat(fullMs - freeMs, greaterThan(slotMs));
  }

  @Test
  void testFreed_isNothingWithoutRunningRequests() {
    assertThat(FORECAST.freedPerMs(load(0, 0), 20), is(0.0));
  }

  @Test
  void testCost_growsWithPromptAndAnswer() {
    assertThat(FORECAST.answerPasses(101), is(21.0));
    double costMs = FORECAST.costMs(1_000, 20);
    assertThat(costMs, closeTo(0.5 * 20 + 20 * 25 / 10.0, ERROR));
    assertThat(FORECAST.costMs(2_000, 20), greaterThan(costMs));
    assertThat(FORECAST.costMs(1_000, 21), greaterThan(costMs));
  }

  @Test
  void testEngineShare_isThatOfASlotAndOfReading() {
    assertThat(FORECAST.engineShare(0, 20), closeTo(1 / 10.0, ERROR));
    assertThat(FORECAST.engineShare(0, 200), closeTo(1 / 10.0, ERROR));
    assertThat(FORECAST.engineShare(1_000, 20), closeTo((10 + 50) / (10 + 500.0), ERROR));
  }

  @Test
  void testSpecWithoutFigures_givesFiniteTimes() {
    ModelShape model = new ModelShape("m", 1, 1, 1, 0, 0);
    EngineSpec spec = new EngineSpec(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, List.of(model));
    EngineForecast forecast = EngineForecast.of(spec, model);
    assertThat(forecast.firstEventMs(load(3, 1_000), 1_000, 1), lessThan(1.0));
    assertThat(forecast.freedPerMs(load(1, 0), 1), lessThan(Double.POSITIVE_INFINITY));
  }
}
