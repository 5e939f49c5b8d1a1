package org.shoreroad.edge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class NumericAddressTest {
  @Test
  void numericAddressesWithAPortAreValid() {
    for (String text : List.of("10.0.0.1:7340", "0.0.0.0:1", "255.255.255.255:65535")) {
      assertThat(text, NumericAddress.isValid(text), is(true));
    }
  }

  @Test
  void namesAndNumbersOutOfRangeAreInvalid() {
    for (String text :
        List.of(
            "",
            ":",
            "h:1",
            "10.0.0.1",
            "10.0.0.1:",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0:1",
            "10.0.0.1.2:1",
            "10.0.0.256:1",
            "10.0.0.-1:1",
            "10.0.0.1:+1",
            "10..0.1:1",
            "10.0.0.1:1:1",
            "10.0.0.1:000001",
            "[::1]:80",
            "10.0.0.1:١")) {
      assertThat(text, NumericAddress.isValid(text), is(false));
    }
  }
}
