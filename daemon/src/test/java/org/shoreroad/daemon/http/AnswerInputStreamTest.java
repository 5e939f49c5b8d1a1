package org.shoreroad.daemon.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class AnswerInputStreamTest {
  private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

  private static AnswerInputStream stream(String text) {
    return new AnswerInputStream(
        new ByteArrayInputStream(text.getBytes(StandardCharsets.ISO_8859_1)));
  }

  @Test
  void validAnswersAreReadToTheEnd() throws Exception {
    String answers = ANSWER + ANSWER;
    assertThat(new String(stream(answers).readAllBytes(), StandardCharsets.UTF_8), is(answers));
  }

  @Test
  void validBytesAreReadBeforeTheFault() throws Exception {
    AnswerInputStream stream = stream(ANSWER + "\0");
    byte[] bytes = new byte[ANSWER.length() + 1];
    assertThat(stream.read(bytes, 0, bytes.length), is(ANSWER.length()));
    assertThrows(ProtocolException.class, stream::read);
    assertThrows(ProtocolException.class, () -> stream.read(bytes, 0, bytes.length));
  }

  @Test
  void singleBytesAndSkippedOnesAreChecked() throws IOException {
    AnswerInputStream stream = stream("HTTP/1.1 000 OK\r\n\r\n");
    assertThat(stream.read(), is((int) 'H'));
    assertThrows(ProtocolException.class, () -> stream.skip(ANSWER.length()));
  }
}
