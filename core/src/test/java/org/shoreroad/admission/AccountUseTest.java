package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class AccountUseTest {
  @Test
  void testIsOverShare_comparesWithTheMeanOfActiveAccounts() {
    AccountUse use = new AccountUse();
    use.add("only", 100);
    assertThat(use.isOverShare("only"), is(false));
    use.add("small", 10);
    assertThat(use.isOverShare("only"), is(true));
    assertThat(use.isOverShare("small"), is(false));
    assertThat(use.isOverShare("none"), is(false));
  }

  @Test
  void testToPpm_isAtLeastOne() {
    assertThat(AccountUse.toPpm(0.25), is(250_000L));
    assertThat(AccountUse.toPpm(0), is(1L));
    assertThat(AccountUse.toPpm(Double.NaN), is(1L));
  }

  @Test
  void testRemove_forgetsAnAccountWithoutGrants() {
    AccountUse use = new AccountUse();
    use.add("a", 30);
    use.add("a", 20);
    use.add("b", 10);
    use.remove("a", 20);
    assertThat(use.sharePpm("a"), is(30.0));
    use.remove("b", 10);
    assertThat(use.sharePpm("b"), is(0.0));
    assertThat(use.isOverShare("a"), is(false));
  }
}
