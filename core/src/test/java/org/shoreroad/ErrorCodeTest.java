package org.shoreroad;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/**
 * Tests the text forms of error codes, verdicts and load names, and that docs/API.md lists every
 * error code.
 */
class ErrorCodeTest {
  @Test
  void testParse_everyCodeRoundTripsAndIsDocumented() throws IOException {
    String page = Files.readString(Path.of("..", "docs", "API.md"));
    for (ErrorCode code : ErrorCode.values()) {
      assertThat(ErrorCode.parse(code.toString()), is(code));
      assertThat(page, containsString("`" + code + "`"));
    }
    assertThrows(IllegalArgumentException.class, () -> ErrorCode.parse("nosuch"));
  }

  @Test
  void testVerdict_onlyNotRunIsSafeToRepeat() {
    for (Verdict verdict : Verdict.values()) {
      assertThat(Verdict.parse(verdict.toString()), is(verdict));
      assertThat(verdict.isSafeToRepeat(), is(verdict == Verdict.NOT_RUN));
    }
    assertThrows(IllegalArgumentException.class, () -> Verdict.parse("nosuch"));
  }

  @Test
  void testLoadName_isForItsGenerationOnly() {
    LoadName name = new LoadName("m", 118, "n1-4f");
    assertThat(LoadName.parse(name.toString()), is(name));
    assertThat(LoadName.isForGeneration(name.toString(), 118), is(true));
    assertThat(LoadName.isForGeneration(name.toString(), 11), is(false));
    assertThat(LoadName.isForGeneration(name.toString(), 18), is(false));
    assertThrows(IllegalArgumentException.class, () -> LoadName.parse("m"));
    assertThrows(IllegalArgumentException.class, () -> new LoadName("a~b", 1, "x"));
  }
}
