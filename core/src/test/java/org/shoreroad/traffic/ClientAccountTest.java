package org.shoreroad.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClientAccountTest {
  /** Guards against a name that ends its header, and a key that a caller without one has. */
  @ParameterizedTest
  @ValueSource(strings = {"", "a\r\nX: b", " a", "a\t", "\ud800"})
  void textThatNoHeaderCarriesIsRejected(String text) {
    assertThrows(IllegalArgumentException.class, () -> new ClientAccount(text, Set.of(), 1));
    assertThrows(IllegalArgumentException.class, () -> new ClientAccount("a", Set.of(text), 1));
  }

  @Test
  void textFormLeavesTheKeysOut() {
    ClientAccount account = new ClientAccount("東京", Set.of("secret"), 1);
    assertThat(account.name(), is("東京"));
    assertThat(account.toString(), not(containsString("secret")));
  }
}
