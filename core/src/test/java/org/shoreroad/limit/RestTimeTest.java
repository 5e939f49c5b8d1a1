package org.shoreroad.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RestTimeTest {
  @Test
  void parsesWholeAndFractionalSeconds() {
    assertThat(RestTime.parse("3"), is(Optional.of(new RestTime(TimeUnit.SECONDS.toNanos(3)))));
    assertThat(RestTime.parse("0.25"), is(Optional.of(new RestTime(250_000_000))));
    assertThat(new RestTime(250_000_000).seconds(), is(0.25));
  }

  @Test
  void isCappedAtOneHour() {
    assertThat(RestTime.parse("3600"), is(Optional.of(RestTime.LONGEST)));
    assertThat(RestTime.parse("9".repeat(20)), is(Optional.of(RestTime.LONGEST)));
  }

  @Test
  void ignoresTextThatIsNotANumber() {
    assertThat(RestTime.parse("Wed, 21 Oct 2026 07:28:00 GMT"), is(Optional.empty()));
    assertThat(RestTime.parse("-3"), is(Optional.empty()));
    assertThat(RestTime.parse(""), is(Optional.empty()));
  }

  @Test
  void rejectsNegativeTimes() {
    assertThrows(IllegalArgumentException.class, () -> new RestTime(-1));
  }
}
