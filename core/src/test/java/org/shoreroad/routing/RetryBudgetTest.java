package org.shoreroad.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Checks that retries stay within a tenth of the first attempts, also under concurrency. */
public class RetryBudgetTest {
  private final RetryBudget budget = new RetryBudget();

  /** Operation that Lincheck interleaves. */
  @Operation
  public void recordAttempt() {
    budget.recordAttempt();
  }

  /** Operation that Lincheck interleaves. */
  @Operation
  public boolean tryRetry() {
    return budget.tryRetry();
  }

  @Test
  void testBudget_isLinearizable() {
    new ModelCheckingOptions()
        .iterations(20)
        .invocationsPerIteration(300)
        .threads(2)
        .actorsPerThread(4)
        .check(RetryBudgetTest.class);
  }

  @Test
  void testTryRetry_staysWithinATenthOfFirstAttempts() {
    RetryBudget fresh = new RetryBudget();
    int retries = 0;
    for (int i = 0; i < 10_000; i++) {
      fresh.recordAttempt();
      retries += fresh.tryRetry() ? 1 : 0;
    }
    assertThat(retries, lessThanOrEqualTo(1_003));
  }

  @Test
  void testTryRetry_isRefusedWhenTheBudgetIsEmpty() {
    RetryBudget fresh = new RetryBudget();
    for (int i = 0; i < 3; i++) {
      assertThat(fresh.tryRetry(), is(true));
    }
    assertThat(fresh.tryRetry(), is(false));
  }
}
