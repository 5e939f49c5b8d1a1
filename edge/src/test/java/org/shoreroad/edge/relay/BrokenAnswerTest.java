package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shoreroad.edge.RawBytes;

/**
 * Guards against bytes of upstreams that form no answer under RFC 9112 and reach callers as one.
 * The request may have run, so it is repeated only where its route permits that.
 *
 * <p>Parameters are written as for {@link RawBytes#parse}.
 */
class BrokenAnswerTest extends LoopbackRelay {
  private static final int PROMPT_MS = 1_000;
  private static final int CALLS = 6;

  private static final String FIELDS = "X-Attempt: a1\r\nX-Seal: s\r\n";
  private static final String BODY = "Content-Length: 4\r\n\r\nbody";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

  private final CompletableFuture<Integer> closed = new CompletableFuture<>();

  /** Writes these bytes as the answer, and then waits until the relay closes the connection. */
  private FakeUpstream.Script raw(String answer) {
    return (head, out, socket) -> {
      writeRaw(out, answer);
      InputStream in = socket.getInputStream();
      try {
        closed.complete(in.read());
      } catch (IOException e) {
        closed.complete(-1);
      }
      return false;
    };
  }

  private static void writeRaw(OutputStream out, String text) throws IOException {
    out.write(RawBytes.parse(text));
    out.flush();
  }

  private void checkIsNoAnswer(String bytes) throws Exception {
    upstream("i-1", raw(bytes));
    String answer = call("/once/x");
    assertThat(answer, startsWith("HTTP/1.1 502"));
    assertThat(answer, not(containsString("X-Seal")));
    assertThat(answer, not(containsString("body")));
    assertThat("end of connection", closed.get(PROMPT_MS, TimeUnit.MILLISECONDS), is(-1));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 OK",
        "HTTP/1.1 0 OK",
        "HTTP/1.1 00 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 00200 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 +200 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 -200 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1 200.0 OK",
        "HTTP/1.1 \\xb2\\xb2\\xb2 OK",
        "HTTP/1.1 OK",
        "HTTP/1.1",
        "HTTP/1.1 ",
        "HTTP/1.1200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/11.1 200 OK",
        "HTTP/1.10 200 OK",
        "HTTP/1. 200 OK",
        "HTTP/1 200 OK",
        "HTTP/01.1 200 OK",
        "http/1.1 200 OK",
        "Http/1.1 200 OK",
        "HTTQ/1.1 200 OK",
        "ICY 200 OK",
        "RTSP/1.0 200 OK",
        "200 OK",
        "\\x00HTTP/1.1 200 OK",
        "\\x07\\x07HTTP/1.1 200 OK",
        "xHTTP/1.1 200 OK",
        "HTTP/1.1\\x00200 OK",
        "HTTP/1.1\\x0b200 OK",
        "HTTP/1.1\\r200 OK",
        "HTTP/1.1 200 O\\x00K",
        "HTTP/1.1 200 O\\x07K",
        "HTTP/1.1 200 O\\rK",
        "HTTP/1.1 200 O\\x7fK",
        "HTTP/1.1 200\\x00OK",
        "HTTP/1.1 101 Switching Protocols"
      })
  void brokenStatusLineIsNoAnswer(String statusLine) throws Exception {
    checkIsNoAnswer(statusLine + "\r\n" + FIELDS + BODY);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X-A b: 1",
        "X-A\\tb: 1",
        "X-A b : 1",
        "X-A\\x00b: 1",
        "X-A\\x00: 1",
        "\\x00X-A: 1",
        "X-A\\x01: 1",
        "X-A\\x07b: 1",
        "X-A\\x0b: 1",
        "X-A\\x0c: 1",
        "X-A\\x1f: 1",
        "X-A\\x7f: 1",
        "X-A\\x80: 1",
        "X-A\\xe9: 1",
        "X-A\\r: 1",
        "X-A\\rX-B: 1",
        "X(A): 1",
        "X/A: 1",
        "\"X-A\": 1",
        "X-A, X-B: 1",
        ": 1",
        "X-A",
        "X-A 1",
        "Content-Length 4: 4",
        "Content-Length x: 2",
        "X-A: 1\\x00",
        "X-A: 1\\x01",
        "X-A: 1\\x0b2",
        "X-A: 1\\x0c2",
        "X-A: \\x1b[31m",
        "X-A: 1\\x7f",
        "X-A: 1\\r2",
        "X-A: 1\\r"
      })
  void brokenFieldIsNoAnswer(String field) throws Exception {
    checkIsNoAnswer("HTTP/1.1 200 OK\r\n" + FIELDS + field + "\r\n" + BODY);
  }

  @ParameterizedTest
  @ValueSource(strings = {" X-A: 1", "\\tX-A: 1", " ", "  continued"})
  void blankBeforeTheFirstFieldIsNoAnswer(String line) throws Exception {
    checkIsNoAnswer("HTTP/1.1 200 OK\r\n" + line + "\r\n" + FIELDS + BODY);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 4\\r\\nContent-Length: 2\\r\\n\\r\\nbody",
        "Content-Length: 2\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
        "Content-Length: 4, 2\\r\\n\\r\\nbody",
        "Content-Length: +4\\r\\n\\r\\nbody",
        "Content-Length: -4\\r\\n\\r\\nbody",
        "Content-Length: 4 4\\r\\n\\r\\nbody",
        "Content-Length: 4;\\r\\n\\r\\nbody",
        "Content-Length: 0x4\\r\\n\\r\\nbody",
        "Content-Length: 4.0\\r\\n\\r\\nbody",
        "Content-Length: four\\r\\n\\r\\nbody",
        "Content-Length:\\r\\n\\r\\nbody",
        "Content-Length: ,\\r\\n\\r\\nbody",
        "Content-Length: 99999999999999999999\\r\\n\\r\\nbody",
        "Content-Length: 18446744073709551620\\r\\n\\r\\nbody"
      })
  void brokenLengthIsNoAnswer(String rest) throws Exception {
    checkIsNoAnswer("HTTP/1.1 200 OK\r\n" + FIELDS + rest);
  }

  /** In HTTP/1.0, the first of several lengths was taken. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 2\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
        "Content-Length: 4\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nbody",
        "Transfer-Encoding: chunked\\r\\n\\r\\n4\\r\\nbody\\r\\n0\\r\\n\\r\\n"
      })
  void brokenLengthOfEarlierVersionIsNoAnswer(String rest) throws Exception {
    checkIsNoAnswer("HTTP/1.0 200 OK\r\n" + FIELDS + rest);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "gzip",
        "identity",
        "xchunked",
        "chunked x",
        "chunked;a=b",
        "chunked, gzip",
        "gzip, chunked",
        "chunked, chunked",
        "chunked\\r\\nTransfer-Encoding: gzip",
        "chunked\\r\\nTransfer-Encoding: chunked"
      })
  void unknownTransferCodingIsNoAnswer(String coding) throws Exception {
    checkIsNoAnswer(
        "HTTP/1.1 200 OK\r\n"
            + FIELDS
            + "Transfer-Encoding: "
            + coding
            + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  }

  @Test
  void unknownTransferCodingBesideLengthIsNoAnswer() throws Exception {
    checkIsNoAnswer("HTTP/1.1 200 OK\r\n" + FIELDS + "Transfer-Encoding: gzip\r\n" + BODY);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "4 \\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4\\t\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4\\x00\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        " 4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4 x\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4x\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "0x4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "+4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "-4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "\\r\\n4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        ";x\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4;a\\x00\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4;a=\\x07\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4;a\\r;b\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "100000004\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "fffffffffffffffff4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "3\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4\\r\\nbodyXX\\r\\n0\\r\\n\\r\\n",
        "4\\r\\nbody0\\r\\n\\r\\n",
        "4\\r\\nbody\\rX\\n0\\r\\n\\r\\n",
        "4\\r\\nbody\\r\\n0 \\r\\n\\r\\n",
        "4\\r\\nbody\\r\\n0\\x00\\r\\n\\r\\n",
        "4\\r\\nbody\\r\\n0\\r\\nX-A b: 1\\r\\n\\r\\n",
        "4\\r\\nbody\\r\\n0\\r\\nX-A\\x00: 1\\r\\n\\r\\n",
        "4\\r\\nbody\\r\\n0\\r\\nX-A: 1\\x00\\r\\n\\r\\n",
        "4\\r\\nbody\\r\\n0\\r\\nX-A\\r\\n\\r\\n",
        "4\\r\\nbody\\r\\n0\\r\\n X-A: 1\\r\\n\\r\\n"
      })
  void brokenChunksAreNoAnswer(String body) throws Exception {
    checkIsNoAnswer("HTTP/1.1 200 OK\r\n" + FIELDS + CHUNKED + body);
  }

  /** The first word of such a name was read as the name, so that the answer counted as sealed. */
  @Test
  void sealInFieldWithBlankInItsNameIsNoSeal() throws Exception {
    checkIsNoAnswer("HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal of: s\r\n" + BODY);
  }

  /** Otherwise a caller would be promised that a request has not run which may have run. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 503 Full\\r\\nX-Not-Run x: 1\\r\\n",
        "HTTP/1.1 503 Full\\r\\nX-Not-Run: 1\\r\\nX-A b: 1\\r\\n",
        "HTTP/1.1 +503 Full\\r\\nX-Not-Run: 1\\r\\n",
        "HTTP/1.1 000 Full\\r\\nX-Not-Run: 1\\r\\n"
      })
  void brokenRefusalIsNoPromiseThatNothingRan(String start) throws Exception {
    checkIsNoAnswer(start + "X-Attempt: a1\r\n" + BODY);
  }

  /** RFC 9112 leaves it to the recipient whether it reads such lines. */
  @Test
  void headWithLineFeedsAloneIsNoAnswer() throws Exception {
    checkIsNoAnswer("HTTP/1.1 200 OK\nX-Attempt: a1\nX-Seal: s\nContent-Length: 4\n\nbody");
  }

  @Test
  void brokenInformationalHeadIsNoAnswer() throws Exception {
    checkIsNoAnswer("HTTP/1.1 103 Hints\r\nX-A b: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + FIELDS + BODY);
  }

  @Test
  void brokenHeadAfterAnAnswerToAnotherRequestIsNoAnswer() throws Exception {
    checkIsNoAnswer(
        "HTTP/1.1 200 OK\r\nX-Attempt: other\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nother"
            + "HTTP/1.1 000 OK\r\n"
            + FIELDS
            + BODY);
  }

  @Test
  void brokenHeadThatComesInSinglePiecesIsNoAnswer() throws Exception {
    String bytes = "HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length x: 2\r\n" + BODY;
    upstream(
        "i-1",
        (head, out, socket) -> {
          for (int i = 0; i < bytes.length(); i++) {
            writeRaw(out, bytes.substring(i, i + 1));
            Thread.sleep(1);
          }
          return false;
        });
    assertThat(call("/once/x"), startsWith("HTTP/1.1 502"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1 000 OK\\r\\n", "HTTP/1.1 200 OK\\r\\nX-A b: 1\\r\\n"})
  void requestWithBrokenAnswerIsRepeatedWhereItsRoutePermits(String start) throws Exception {
    FakeUpstream broken = upstream("i-1", raw(start + FIELDS + BODY));
    upstream("i-2", SERVING);
    for (int i = 0; i < CALLS; i++) {
      assertThat(call("/again/x"), endsWith("\r\n\r\nserved"));
    }
    assertThat("tried", broken.requestHeads().isEmpty(), is(false));
  }

  /** A stream that has begun goes on at another upstream, without the bytes that are no answer. */
  @Test
  void streamWithBrokenChunkGoesOnAtAnotherUpstream() throws Exception {
    FakeUpstream.Script serving =
        (head, out, socket) -> {
          write(out, STREAM_HEAD);
          writeChunk(out, "id: 2\ndata: b\n\n");
          write(out, "0\r\n\r\n");
          return true;
        };
    FakeUpstream broken =
        upstream(
            HEAD_PREFIX + 1,
            raw(STREAM_HEAD + "f\r\n" + FIRST_EVENT + "\r\nf \r\nid: 2\ndata: x\n\n\r\n"));
    upstream(HEAD_PREFIX + 2, serving);
    for (int i = 0; i < CALLS && broken.requestHeads().isEmpty(); i++) {
      String answer = call("/llm/x");
      assertThat(answer, containsString("id: 2\ndata: b\n\n"));
      assertThat(answer, not(containsString("data: x")));
    }
    assertThat("tried", broken.requestHeads().isEmpty(), is(false));
  }

  @Test
  void secondAnswerInTheSamePieceIsNoAnswerToTheNextRequest() throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          write(out, wholeAnswer(head, "served") + "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
          return true;
        });
    for (int i = 0; i < CALLS; i++) {
      assertThat(call("/once/x"), endsWith("\r\n\r\nserved"));
    }
  }
}
