package org.shoreroad.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StatusLineSyntaxTest {
  private final StatusLineSyntax line = new StatusLineSyntax();

  @ParameterizedTest
  @CsvSource({
    "'HTTP/1.1 200 OK', 1, false",
    "'HTTP/1.0 200', 0, false",
    "'HTTP/1.9 404 ', 9, false",
    "'HTTP/1.1 204 No', 1, true",
    "'HTTP/1.1 304 Same', 1, true",
    "'HTTP/1.1 103 Hints', 1, true"
  })
  void validLinesAreRead(String text, int minorVersion, boolean isWithoutBody) {
    assertThat(Lines.read(line, text + "\r\n"), is(LineSyntax.Outcome.END));
    assertThat(line.minorVersion(), is(minorVersion));
    assertThat(line.isWithoutBody(), is(isWithoutBody));
    assertThat(line.isRequest(), is(false));
  }

  @ParameterizedTest
  @CsvSource({
    "'HTTP/2.0 200 OK', START_LINE",
    "'HTTP/1.11 200 OK', START_LINE",
    "'HTTP/1.1200 OK', START_LINE",
    "'HTTP/1.1 200 O\rK', START_LINE",
    "'HTTP/1.1 +200 OK', STATUS",
    "'HTTP/1.1 2000 OK', STATUS",
    "'HTTP/1.1 20 OK', STATUS",
    "'HTTP/1.1 099 OK', STATUS",
    "'HTTP/1.1 600 OK', STATUS",
    "'HTTP/1.1 200OK', STATUS",
    "'HTTP/1.1 101 Switching', UPGRADE"
  })
  void violationsAreFaults(String text, SyntaxFault expected) {
    assertThat(Lines.read(line, text + "\r\n"), is(LineSyntax.Outcome.FAULT));
    assertThat(line.fault(), is(expected));
  }

  @Test
  void lineIsReadAfterReset() {
    Lines.read(line, "HTTP/1.1 204 No\r\n");
    line.reset();
    assertThat(Lines.read(line, "HTTP/1.0 200 OK\r\n"), is(LineSyntax.Outcome.END));
    assertThat(line.isWithoutBody(), is(false));
    assertThat(line.isFinal(), is(true));
  }
}
