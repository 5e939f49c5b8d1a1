package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

class OpenFileLimitTest {
  private static int limitIn(String value) {
    return OpenFileLimit.parse(
        List.of(
            "Limit                     Soft Limit           Hard Limit           Units     ",
            "Max open files            " + value + "                 8192                 files"));
  }

  @Test
  void limitInForceIsParsed() {
    assertThat(limitIn("4100"), is(4_100));
    assertThat(limitIn("unlimited"), is(OpenFileLimit.UNLIMITED));
    assertThat(limitIn("1073741816000"), is(OpenFileLimit.UNLIMITED));
    assertThat(limitIn(""), is(8_192));
  }

  @Test
  void missingLimitIsUnlimited() {
    assertThat(OpenFileLimit.parse(List.of()), is(OpenFileLimit.UNLIMITED));
    assertThat(OpenFileLimit.parse(List.of("Max open files")), is(OpenFileLimit.UNLIMITED));
    assertThat(OpenFileLimit.ofProcess(), is(greaterThan(0)));
  }
}
