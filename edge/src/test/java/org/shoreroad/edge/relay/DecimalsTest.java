package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DecimalsTest {
  @Test
  void aNumberOfUpToEighteenDigitsIsParsed() {
    assertThat(Decimals.parse("0", -1), is(0L));
    assertThat(Decimals.parse("007", -1), is(7L));
    assertThat(Decimals.parse("999999999999999999", -1), is(999_999_999_999_999_999L));
  }

  @Test
  void anyOtherTextGivesTheDefaultValue() {
    for (String text : new String[] {"", "-1", "+1", " 1", "1 ", "1x", "1.0", "\u0661"}) {
      assertThat(text, Decimals.parse(text, -1), is(-1L));
    }
    assertThat(Decimals.parse("1000000000000000000", -1), is(-1L));
  }

  @Test
  void parsesTheSameTextsAsTheRegularExpression() {
    SplittableRandom random = new SplittableRandom(7);
    for (int i = 0; i < 10_000; i++) {
      StringBuilder text = new StringBuilder();
      for (int length = random.nextInt(21); length > 0; length--) {
        text.append("0123456789012345678901234567890123456789 -x".charAt(random.nextInt(43)));
      }
      String sample = text.toString();
      long expected = sample.matches("[0-9]{1,18}") ? Long.parseLong(sample) : -1;
      assertThat(sample, Decimals.parse(sample, -1), is(expected));
    }
  }
}
