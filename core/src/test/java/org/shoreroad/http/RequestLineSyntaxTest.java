package org.shoreroad.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestLineSyntaxTest {
  private final RequestLineSyntax line = new RequestLineSyntax();

  @ParameterizedTest
  @ValueSource(strings = {"GET / HTTP/1.1", "M-X *  HTTP/1.0", "\r\nPOST /a?b={\u00e9} HTTP/1.1 "})
  void validLinesAreRead(String text) {
    assertThat(Lines.read(line, text + "\r\n"), is(LineSyntax.Outcome.END));
    assertThat(line.isRequest(), is(true));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"GET", "GET /", "GET / HTTP/2.0", "G(T / HTTP/1.1", "GET /\0 HTTP/1.1", "GET /\r"})
  void violationsAreFaults(String text) {
    assertThat(Lines.read(line, text + "\r\n"), is(LineSyntax.Outcome.FAULT));
    assertThat(line.fault(), is(SyntaxFault.START_LINE));
  }
}
