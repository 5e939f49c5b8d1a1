package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class StorePositionTest {
  private static StorePosition at(long era, long offset) {
    return StorePosition.of(era, offset);
  }

  @Test
  void offsetsOfOneEraAreOrdered() {
    assertThat(at(1, 5).hasReached(at(1, 5)), is(true));
    assertThat(at(1, 5).hasReached(at(1, 6)), is(false));
    assertThat(at(1, 5).isCertainlyAfter(at(1, 4)), is(true));
    assertThat(at(1, 5).isCertainlyAfter(at(1, 5)), is(false));
  }

  @Test
  void positionOfAnotherEraIsNeverReached() {
    assertThat(at(2, 9).hasReached(at(1, 5)), is(false));
    assertThat(at(1, 9).hasReached(at(2, 5)), is(false));
  }

  @Test
  void onlyAHigherOffsetOfALaterEraIsCertainlyAfter() {
    assertThat(at(2, 6).isCertainlyAfter(at(1, 5)), is(true));
    assertThat(at(2, 5).isCertainlyAfter(at(1, 5)), is(false));
    assertThat(at(2, 4).isCertainlyAfter(at(1, 5)), is(false));
    assertThat(at(1, 9).isCertainlyAfter(at(2, 5)), is(false));
  }

  @Test
  void anyRecordIsAfterNone() {
    assertThat(at(StoreEra.NONE, 0).isCertainlyAfter(StorePosition.NONE), is(true));
    assertThat(at(StoreEra.NONE, 0).hasReached(StorePosition.NONE), is(false));
  }
}
