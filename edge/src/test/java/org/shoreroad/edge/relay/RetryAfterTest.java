package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.DoubleSummaryStatistics;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import org.junit.jupiter.api.Test;

class RetryAfterTest {
  @Test
  void retriesAreSpreadOverHalfOfTheDelay() {
    SplittableRandom random = new SplittableRandom(5);
    DoubleSummaryStatistics seconds =
        DoubleStream.generate(() -> Double.parseDouble(RetryAfter.PLACE.headerValue(random)))
            .limit(1_000)
            .summaryStatistics();
    assertThat(seconds.getMin(), greaterThanOrEqualTo(0.4));
    assertThat(seconds.getMax(), allOf(greaterThan(0.59), lessThanOrEqualTo(0.6)));
  }
}
