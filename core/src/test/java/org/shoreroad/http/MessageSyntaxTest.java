package org.shoreroad.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MessageSyntaxTest {
  private static final List<String> ANSWERS =
      List.of(
          "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 4\r\n\r\nbody",
          "HTTP/1.1 200\r\nX-A : 1\r\n 2\r\nContent-Length: 4\r\n\r\nbody",
          "HTTP/1.1 204 No\r\nX-A: 1\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + "4;a=b\r\nbody\r\nA ;c\r\n0123456789\r\n00\r\nX-B: 1\r\n\r\n");

  private final MessageSyntax syntax = MessageSyntax.ofAnswers();

  private int read(String text) {
    return syntax.read(ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1)));
  }

  @Test
  void eachMessageIsReadToItsEnd() {
    for (String answer : ANSWERS) {
      assertThat(answer, read(answer + "more"), is(answer.length()));
      assertThat(answer, syntax.isOver(), is(true));
      assertThat(answer, syntax.fault(), is(nullValue()));
    }
  }

  @Test
  void eachMessageIsReadByteByByte() {
    for (String answer : ANSWERS) {
      for (int i = 0; i < answer.length(); i++) {
        assertThat(read(answer.substring(i, i + 1)), is(1));
        assertThat(answer + i, syntax.isOver(), is(i == answer.length() - 1));
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "'HTTP/1.1\0', START_LINE",
    "'HTTP/1.1 000', STATUS",
    "'HTTP/1.1 101', UPGRADE",
    "'HTTP/1.1 200 OK|X-A b', FIELD_NAME",
    "'HTTP/1.1 200 OK|X-A: \0', FIELD_VALUE",
    "'HTTP/1.1 200 OK|Content-Length: a||', LENGTH",
    "'HTTP/1.1 200 OK|Transfer-Encoding: a||', TRANSFER_CODING",
    "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||4x', CHUNK",
    "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||0|X-A b', FIELD_NAME"
  })
  void faultIsNamedAtItsFirstByte(String text, SyntaxFault expected) {
    String sent = text.replace("|", "\r\n");
    boolean isOfStatus = expected == SyntaxFault.STATUS || expected == SyntaxFault.UPGRADE;
    // The status is complete only before the next byte.
    int valid = read(isOfStatus ? sent + " " : sent);
    assertThat(syntax.fault(), is(expected));
    if (!isOfStatus && expected != SyntaxFault.FIELD_NAME) {
      assertThat(valid, is(sent.length() - 1));
    }
  }

  @Test
  void longValueThatStatesTheLengthIsAFault() {
    read("HTTP/1.1 200 OK\r\nContent-Length: " + "1,".repeat(1_000) + "1\r\n\r\n");
    assertThat(syntax.fault(), is(SyntaxFault.LENGTH));
  }

  @Test
  void answerWithoutLengthIsNeverOver() {
    String answer = "HTTP/1.0 200 OK\r\n\r\nbody HTTP/1.1 000\r\n\0";
    assertThat(read(answer), is(answer.length()));
    assertThat(syntax.isOver(), is(false));
  }

  @Test
  void answerToHeadHasNoBody() {
    String answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    syntax.expectAnswer(true);
    assertThat(read("HTTP/1.1 100 Go\r\n\r\n"), is("HTTP/1.1 100 Go\r\n\r\n".length()));
    assertThat(read(answer), is(answer.length()));
    assertThat(syntax.isOver(), is(true));
    assertThat(read(answer + "body"), is(answer.length() + "body".length()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"\r\n", "\r\n\r\n", " ", "\t \r\n"})
  void blanksBeforeTheStatusLineAreSkipped(String before) {
    read(before + ANSWERS.get(0));
    assertThat(syntax.isOver(), is(true));
  }
}
