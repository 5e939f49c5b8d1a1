package org.shoreroad.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class HttpGrammarTest {
  @ParameterizedTest
  @ValueSource(strings = {"a", "X-Attempt", "0", "!#$%&'*+-.^_`|~"})
  void namesAreTokens(String name) {
    assertThat(HttpGrammar.isToken(name), is(true));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", " ", "a b", "a ", " a", "a\tb", "a:", "a\0", "a\u007f", "\u00e9", "\u0100"})
  void otherTextsAreNoTokens(String name) {
    assertThat(HttpGrammar.isToken(name), is(false));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "a b\tc", "\"(),/:;<=>?@[]{}", "caf\u00e9", "\u0100"})
  void valuesAreTexts(String value) {
    assertThat(HttpGrammar.isText(value), is(true));
  }

  @ParameterizedTest
  @ValueSource(strings = {"\0", "a\r", "a\nb", "\u000b", "\u001f", "\u007f"})
  void controlCharactersAreNoTexts(String value) {
    assertThat(HttpGrammar.isText(value), is(false));
  }

  @ParameterizedTest
  @ValueSource(ints = {-200, -1, 0, 20, 99, 600, 999, 2_000})
  void numbersOutsideTheRangeAreNoStatus(int status) {
    assertThat(HttpGrammar.isStatus(status), is(false));
    assertThat(HttpGrammar.isFinalStatus(status), is(false));
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 101, 199})
  void informationalStatusIsNotFinal(int status) {
    assertThat(HttpGrammar.isStatus(status), is(true));
    assertThat(HttpGrammar.isFinalStatus(status), is(false));
  }

  @ParameterizedTest
  @ValueSource(ints = {200, 204, 418, 599})
  void numbersInTheRangeAreFinal(int status) {
    assertThat(HttpGrammar.isFinalStatus(status), is(true));
  }
}
