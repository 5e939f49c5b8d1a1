package org.shoreroad.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ChunkLineSyntaxTest {
  private final ChunkLineSyntax line = new ChunkLineSyntax();

  @ParameterizedTest
  @CsvSource({
    "0, 0",
    "000a, 10",
    "fF, 255",
    "7fffffff, 2147483647",
    "4;a=b, 4",
    "'4 ; a = \"b c\"', 4",
    "4;, 4"
  })
  void sizesAreRead(String text, long sizeBytes) {
    assertThat(Lines.read(line, text + "\r\n"), is(LineSyntax.Outcome.END));
    assertThat(line.sizeBytes(), is(sizeBytes));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", " 4", "4 ", "4\0", "4x", "+4", "0x4", "80000000", "4;\0", "4\r;"})
  void violationsAreFaults(String text) {
    assertThat(Lines.read(line, text + "\r\n"), is(LineSyntax.Outcome.FAULT));
    assertThat(line.fault(), is(SyntaxFault.CHUNK));
  }

  @Test
  void dataEndsWithItsLineBreak() {
    line.expectEndOfData();
    assertThat(Lines.read(line, "\r\n4\r\n"), is(LineSyntax.Outcome.END));
    line.reset();
    line.expectEndOfData();
    assertThat(Lines.read(line, "4\r\n"), is(LineSyntax.Outcome.FAULT));
  }
}
