package org.shoreroad.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RequestLimitTest {
  @Test
  void parsesDecimalNumbers() {
    assertThat(RequestLimit.parse("1.2"), is(Optional.of(new RequestLimit(1.2))));
    assertThat(RequestLimit.parse(" 50 "), is(Optional.of(new RequestLimit(50))));
    assertThat(RequestLimit.parse(".5"), is(Optional.of(new RequestLimit(0.5))));
    assertThat(RequestLimit.parse("0"), is(Optional.of(new RequestLimit(0))));
  }

  @Test
  void ignoresTextThatIsNotADecimalNumber() {
    List<String> texts =
        List.of("", ".", "1.2.3", "-1", "+1", "1e3", "NaN", "Infinity", "0x1p3", "1,2", "1 2");
    for (String text : texts) {
      assertThat(text, RequestLimit.parse(text), is(Optional.empty()));
    }
    assertThat(RequestLimit.parse("9".repeat(400)), is(Optional.empty()));
  }

  @Test
  void rejectsNegativeAndNonFiniteRates() {
    assertThrows(IllegalArgumentException.class, () -> new RequestLimit(-0.1));
    assertThrows(IllegalArgumentException.class, () -> new RequestLimit(Double.NaN));
    assertThrows(IllegalArgumentException.class, () -> new RequestLimit(Double.POSITIVE_INFINITY));
  }
}
