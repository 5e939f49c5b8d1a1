package org.shoreroad.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class BodyLengthTest {
  @ParameterizedTest
  @CsvSource({
    "0, 0",
    "' 17 ', 17",
    "'\t17', 17",
    "0017, 17",
    "00000000000000000000017, 17",
    "999999999999999999, 999999999999999999",
    "'17,17', 17",
    "'17 , 17,17', 17",
    "',17,', 17"
  })
  void lengthsAreRead(String list, long expected) {
    assertThat(BodyLength.parse(list), is(expected));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        " ",
        ",",
        "+1",
        "-1",
        "1.0",
        "0x1",
        "1 2",
        "1,2",
        "1;",
        "a",
        "\u0661",
        "1\u00b2",
        "1000000000000000000",
        "9223372036854775808",
        "18446744073709551617"
      })
  void otherValuesAreNoLengths(String list) {
    assertThat(BodyLength.parse(list), is(BodyLength.INVALID));
  }

  @ParameterizedTest
  @ValueSource(strings = {"chunked", "Chunked", " chunked ", ",chunked", "chunked , ,"})
  void chunkedAloneIsFound(String list) {
    assertThat(BodyLength.isChunkedAlone(list), is(true));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", " ", "gzip", "identity", "chunked;q=1", "gzip,chunked", "chunked,chunked"})
  void otherCodingsAreNotChunkedAlone(String list) {
    assertThat(BodyLength.isChunkedAlone(list), is(false));
  }
}
