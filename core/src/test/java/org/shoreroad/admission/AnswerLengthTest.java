package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.junit.jupiter.api.Test;

class AnswerLengthTest {
  private final AnswerLength length =
      new AnswerLength(EngineForecast.of(ModelPlay.SPEC, ModelPlay.SHAPE));

  private static RoomRequest request(int answerTokens) {
    return new RoomRequest(
        new RoomRequest.Key("p", 1),
        "z",
        "a",
        0,
        100,
        answerTokens,
        0,
        250,
        200,
        6_000,
        7,
        Set.of(),
        true);
  }

  @Test
  void testMean_followsExpectedSizesUntilEnoughAreMeasured() {
    length.recordExpected(request(50));
    length.recordExpected(request(100));
    assertThat(length.meanPasses(), closeTo(15, 0.01));
    for (int i = 0; i < 49; i++) {
      length.recordMeasured(40);
    }
    assertThat(length.meanPasses(), closeTo(15, 0.01));
    for (int i = 0; i < 300; i++) {
      length.recordMeasured(40);
    }
    assertThat(length.meanPasses(), closeTo(40, 0.5));
  }

  @Test
  void testMean_followsMeasuredAnswersWithoutExpectedSizes() {
    length.recordExpected(request(0));
    length.recordMeasured(8);
    assertThat(length.meanPasses(), closeTo(8, 0.01));
    assertThat(length.passes(request(0)), closeTo(8, 0.01));
    assertThat(length.passes(request(52)), is(11.0));
  }

  @Test
  void testTokens_ofAnUnknownSizeAreTheMean() {
    length.recordExpected(request(200));
    assertThat(length.tokens(request(0)), is(200.0));
    assertThat(length.tokens(request(7)), is(7.0));
  }
}
