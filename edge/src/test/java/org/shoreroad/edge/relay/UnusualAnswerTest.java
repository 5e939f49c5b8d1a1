package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shoreroad.edge.RawBytes;

/**
 * Guards against a check of answers that refuses sound ones: each of these is an answer under RFC
 * 9112, or one that it lets a recipient read. Parameters are written as for {@link RawBytes#parse}.
 */
class UnusualAnswerTest extends LoopbackRelay {
  private static final String FIELDS = "X-Attempt: a1\r\nX-Seal: s\r\n";
  private static final String BODY = "Content-Length: 4\r\n\r\nbody";
  private static final String CHUNKS = "4\r\nbody\r\n0\r\n\r\n";

  private static final int CALLS = 6;

  private String answerTo(String bytes) throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          out.write(RawBytes.parse(bytes));
          out.flush();
          return false;
        });
    return call("/once/x");
  }

  private String checkIsAnswer(String bytes) throws Exception {
    String answer = answerTo(bytes);
    assertThat(answer, startsWith("HTTP/1.1 200"));
    assertThat(answer.toLowerCase(), containsString("x-seal: s\r\n"));
    assertThat(answer, containsString("body"));
    return answer;
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 ",
        "HTTP/1.1 200",
        "HTTP/1.1 200 All is well, 100%",
        "HTTP/1.1 200 caf\\xe9",
        "HTTP/1.1 200 O\\tK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\\t200 OK",
        "HTTP/1.1 200  OK",
        " HTTP/1.1 200 OK",
        "HTTP/1.0 200 OK",
        "HTTP/1.2 200 OK",
        "\\r\\nHTTP/1.1 200 OK"
      })
  void statusLineIsRead(String statusLine) throws Exception {
    checkIsAnswer(statusLine + "\r\n" + FIELDS + BODY);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X-A:",
        "X-A:1",
        "X-A: \\t 1 \\t ",
        "X-A: a b\\tc",
        "X-A: caf\\xe9",
        "x-a: \"(),/:;<=>?@[]{}",
        "!#$%&'*+-.^_`|~09az: 1",
        "1: 1",
        "X-A: 1\\r\\nX-A: 2"
      })
  void fieldIsRead(String field) throws Exception {
    checkIsAnswer("HTTP/1.1 200 OK\r\n" + FIELDS + field + "\r\n" + BODY);
  }

  /** RFC 9112, 5.1: a proxy removes the blanks. */
  @ParameterizedTest
  @ValueSource(strings = {"X-A : 1", "X-A\\t: 1", "X-A \\t : 1"})
  void blankBeforeTheColonIsRemoved(String field) throws Exception {
    String answer = checkIsAnswer("HTTP/1.1 200 OK\r\n" + FIELDS + field + "\r\n" + BODY);
    assertThat(answer, containsString("X-A: 1\r\n"));
  }

  @Test
  void blankBeforeTheColonOfLengthIsRemoved() throws Exception {
    checkIsAnswer("HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length : 4\r\n\r\nbody");
  }

  /** RFC 9112, 5.2: a proxy replaces each fold by blanks. */
  @ParameterizedTest
  @ValueSource(strings = {"X-A: 1\\r\\n 2", "X-A: 1\\r\\n\\t2", "X-A: 1 \\r\\n \\t 2"})
  void foldedFieldIsUnfolded(String field) throws Exception {
    String answer = checkIsAnswer("HTTP/1.1 200 OK\r\n" + FIELDS + field + "\r\n" + BODY);
    assertThat(answer, containsString("X-A: 1 2\r\n"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 0004\\r\\n\\r\\nbody",
        "content-length:4\\r\\n\\r\\nbody",
        "CONTENT-LENGTH:  4  \\r\\n\\r\\nbody",
        "Connection: close\\r\\n\\r\\nbody",
        "\\r\\nbody"
      })
  void lengthIsRead(String rest) throws Exception {
    checkIsAnswer("HTTP/1.1 200 OK\r\n" + FIELDS + rest);
  }

  /** RFC 9112, 6.3: several equal lengths are one length. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 4, 4\\r\\n",
        "Content-Length: 4\\r\\nContent-Length: 4\\r\\n",
        "Content-Length: 4,4\\r\\nX-A: 1\\r\\ncontent-length: 4\\r\\n"
      })
  void repeatedLengthIsReadAsOne(String lengths) throws Exception {
    String answer = checkIsAnswer("HTTP/1.1 200 OK\r\n" + FIELDS + lengths + "\r\nbody");
    assertThat(answer.toLowerCase(), containsString("content-length: 4\r\n"));
    assertThat(answer, endsWith("\r\n\r\nbody"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "chunked",
        "Chunked",
        "CHUNKED",
        "chunked  ",
        ", chunked",
        "chunked,",
        "\\r\\nTransfer-Encoding: chunked"
      })
  void chunkedCodingIsRead(String coding) throws Exception {
    checkIsAnswer(
        "HTTP/1.1 200 OK\r\n" + FIELDS + "Transfer-Encoding: " + coding + "\r\n\r\n" + CHUNKS);
  }

  /** RFC 9112, 6.3: the coding overrides the length, which a proxy removes. */
  @Test
  void lengthBesideChunkedCodingIsRemoved() throws Exception {
    String answer =
        checkIsAnswer(
            "HTTP/1.1 200 OK\r\n"
                + FIELDS
                + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n"
                + CHUNKS);
    assertThat(answer, not(containsString(": 9\r\n")));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "0004\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4;a\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4;a=b;c=\"d e\"\\r\\nbody\\r\\n0;z\\r\\n\\r\\n",
        "4 ; a = b\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "00000000004\\r\\nbody\\r\\n000\\r\\n\\r\\n",
        "4\\r\\nbody\\r\\n0\\r\\nX-A: 1\\r\\nX-B:\\r\\n\\r\\n",
        "4\\r\\nbody\\r\\n0\\r\\nX-A : 1\\r\\n\\r\\n",
        "4\\r\\nbody\\r\\nA\\r\\n0123456789\\r\\na\\r\\n0123456789\\r\\n0\\r\\n\\r\\n"
      })
  void chunksAreRead(String chunks) throws Exception {
    checkIsAnswer("HTTP/1.1 200 OK\r\n" + FIELDS + "Transfer-Encoding: chunked\r\n\r\n" + chunks);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 100 Continue\\r\\n\\r\\n",
        "HTTP/1.1 103 Early Hints\\r\\nLink: </a>\\r\\n\\r\\n",
        "HTTP/1.1 100 Continue\\r\\n\\r\\nHTTP/1.1 102 Processing\\r\\n\\r\\n"
      })
  void answerAfterInformationalHeadsIsRead(String heads) throws Exception {
    checkIsAnswer(heads + "HTTP/1.1 200 OK\r\n" + FIELDS + BODY);
  }

  @Test
  void connectionIsUsedAgainAfterInformationalHead() throws Exception {
    Set<Socket> seen = ConcurrentHashMap.newKeySet();
    upstream(
        "i-1",
        (head, out, socket) -> {
          seen.add(socket);
          write(out, "HTTP/1.1 103 Hints\r\n\r\n" + wholeAnswer(head, "served"));
          return true;
        });
    for (int i = 0; i < CALLS; i++) {
      assertThat(call("/once/x"), endsWith("\r\n\r\nserved"));
    }
    assertThat("connections", seen.size(), is(1));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"299 Odd", "400 Bad", "404 No", "418 Teapot", "451 Law", "500 No", "599 No"})
  void unusualStatusIsPassedOn(String status) throws Exception {
    String answer = answerTo("HTTP/1.1 " + status + "\r\n" + FIELDS + BODY);
    assertThat(answer, startsWith("HTTP/1.1 " + status + "\r\n"));
    assertThat(answer, containsString("body"));
  }

  /** RFC 9112, 6.3: such an answer ends with its head, whatever its fields state. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "204 No\\r\\nX-Attempt: a1\\r\\nX-Seal: s",
        "204 No\\r\\nX-Attempt: a1\\r\\nX-Seal: s\\r\\nTransfer-Encoding: chunked",
        "304 Same\\r\\nX-Attempt: a1\\r\\nContent-Length: 9"
      })
  void answerWithoutBodyIsRead(String head) throws Exception {
    String answer = answerTo("HTTP/1.1 " + head + "\r\n\r\n");
    assertThat(answer, startsWith("HTTP/1.1 " + head.substring(0, 3)));
  }
}
