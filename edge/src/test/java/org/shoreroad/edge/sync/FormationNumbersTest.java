package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class FormationNumbersTest {
  private final FormationNumbers numbers = new FormationNumbers();

  @Test
  void numberStartsWithTheFencingNumber() {
    assertThat(numbers.next(7), is((7L << 20) + 1));
    assertThat(numbers.next(7), is((7L << 20) + 2));
    assertThat(numbers.next(9), is((9L << 20) + 1));
  }

  @Test
  void numbersIncreaseEvenIfTheFencingNumberDoesNot() {
    long first = numbers.next(7);
    assertThat(numbers.next(6), greaterThan(first));
  }
}
