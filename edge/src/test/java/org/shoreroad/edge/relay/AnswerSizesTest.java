package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class AnswerSizesTest {
  private final AnswerSizes sizes = new AnswerSizes();

  @Test
  void nothingIsExpectedOfRouteWithoutAnswers() {
    assertThat(sizes.expectedBytes("a"), is(0L));
  }

  @Test
  void firstAnswerIsExpectedAgain() {
    sizes.record("a", 800);
    assertThat(sizes.expectedBytes("a"), is(800L));
    assertThat(sizes.expectedBytes("b"), is(0L));
  }

  @Test
  void largeAnswerIsExpectedToBeSentOn() {
    sizes.record("a", 1L << 40);
    assertThat(sizes.expectedBytes("a"), is(AnswerSizes.MAX_EXPECTED_BYTES));
  }

  @Test
  void meanOfMixedAnswersIsExpected() {
    for (int i = 0; i < 1_000; i++) {
      sizes.record("a", i % 2 == 0 ? 1_000 : 3_000);
    }
    assertThat((double) sizes.expectedBytes("a"), closeTo(2_000, 100));
  }

  @Test
  void formerSizesAreForgotten() {
    sizes.record("a", 100_000);
    for (int i = 0; i < 100; i++) {
      sizes.record("a", 100);
    }
    assertThat(sizes.expectedBytes("a"), lessThan(500L));
  }

  @Test
  void routesThatAreNotUsedAreForgotten() {
    sizes.record("a", 800);
    for (int i = 0; i < 2_000; i++) {
      sizes.record("route " + i, 1);
    }
    assertThat(sizes.expectedBytes("a"), is(0L));
    assertThat(sizes.expectedBytes("route 1999"), is(1L));
  }
}
