package org.shoreroad.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FieldLinesSyntaxTest {
  private final FieldLinesSyntax fields = new FieldLinesSyntax();

  private LineSyntax.Outcome read(String text) {
    return Lines.read(fields, text.replace("|", "\r\n"));
  }

  @Test
  void valuesThatStateTheLengthAreKept() {
    LineSyntax.Outcome outcome =
        read("CONTENT-Length: 4|X-Content-Length: 5|content-length\t:|Transfer-Encoding:a|\tb||");
    assertThat(outcome, is(LineSyntax.Outcome.END));
    assertThat(fields.lengths(), is("  4,"));
    assertThat(fields.codings(), is(" a\tb"));
  }

  @Test
  void fieldsAreReadAfterReset() {
    read("Content-Length: 4||");
    fields.reset();
    assertThat(read("|"), is(LineSyntax.Outcome.END));
    assertThat(fields.lengths(), is(nullValue()));
    assertThat(fields.codings(), is(nullValue()));
  }

  @ParameterizedTest
  @CsvSource({
    "' X-A: 1|', FIELD_NAME",
    "': 1|', FIELD_NAME",
    "'X-A b: 1|', FIELD_NAME",
    "'X-A|', FIELD_NAME",
    "'X-A: 1|X-B\0: 1|', FIELD_NAME",
    "'X-A: \0|', FIELD_VALUE",
    "'X-A: 1\r2|', FIELD_VALUE",
    "'X-A: 1|\u0007|', FIELD_NAME"
  })
  void violationsAreFaults(String text, SyntaxFault expected) {
    assertThat(read(text), is(LineSyntax.Outcome.FAULT));
    assertThat(fields.fault(), is(expected));
  }
}
