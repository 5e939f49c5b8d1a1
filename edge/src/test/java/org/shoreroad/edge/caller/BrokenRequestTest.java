package org.shoreroad.edge.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shoreroad.edge.RawBytes;
import org.shoreroad.traffic.CallerLimits;

/**
 * Guards against bytes of callers that form no request under RFC 9112 and are run as one, such as a
 * request inside the body of another one; and against a check that refuses sound ones.
 *
 * <p>Parameters are written as for {@link RawBytes#parse}.
 */
class BrokenRequestTest {
  private static final CallerLimits LIMITS = new CallerLimits(2_000, 1_000, 300, 600);
  private static final int READ_TIMEOUT_MS = 10_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final List<String> bad = new CopyOnWriteArrayList<>();
  private final List<String> begun = new CopyOnWriteArrayList<>();
  private InetSocketAddress address;

  @BeforeEach
  void start() throws Exception {
    CallerServer server =
        new CallerServer(loop, System::nanoTime, () -> LIMITS, this::begin, bad::add);
    address =
        (InetSocketAddress)
            server
                .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress();
  }

  @AfterEach
  void stop() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private CallerExchange begin(CallerRequest request, AnswerChannel answers) {
    begun.add(request.uri() + " " + request.body().toString(StandardCharsets.UTF_8));
    request.body().release();
    answers.answer(HttpResponseStatus.OK, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    return AnsweredExchange.INSTANCE;
  }

  private String send(String text) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      socket.getOutputStream().write(RawBytes.parse(text));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private void checkIsRefused(String request) throws IOException {
    String answer = send(request);
    assertThat(answer, startsWith("HTTP/1.1 400"));
    assertThat(begun, is(empty()));
    assertThat(bad, is(List.of("malformed_request")));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /a HTTP/1.0\\r\\n",
        "GET /a HTTP/1.2\\r\\n",
        "GET  /a\\tHTTP/1.1\\r\\n",
        "\\r\\nGET /a HTTP/1.1\\r\\n",
        "GET http://h/a HTTP/1.1\\r\\n",
        "GET /a?b={c}|%20\\xe9 HTTP/1.1\\r\\n",
        "OPTIONS * HTTP/1.1\\r\\n",
        "PURGE-1 /a HTTP/1.1\\r\\n",
        "GET /a HTTP/1.1\\r\\nHost:h\\r\\nX-A:\\r\\nx-b: caf\\xe9 \\t\\r\\n!#$%: 1\\r\\n",
        "GET /a HTTP/1.1\\r\\nContent-Length: 000\\r\\n"
      })
  void unusualRequestIsRun(String head) throws Exception {
    assertThat(send(head + "Connection: close\r\n\r\n"), startsWith("HTTP/1.1 200"));
    assertThat(begun.size(), is(1));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Transfer-Encoding: Chunked\\r\\n\\r\\n4;a=b\\r\\nbody\\r\\n000\\r\\nX-A: 1\\r\\n\\r\\n",
        "Transfer-Encoding: , chunked\\r\\n\\r\\n0004 ;a\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "content-length:0004\\r\\n\\r\\nbody"
      })
  void unusualBodyIsRead(String rest) throws Exception {
    send("POST /a HTTP/1.1\r\nConnection: close\r\n" + rest);
    assertThat(begun, is(List.of("/a body")));
  }

  /** Guards against bytes of the next request that run as the body of an old handshake. */
  @Test
  void requestWithTheHeadersOfAnOldHandshakeHasNoBody() throws Exception {
    send(
        "GET /a HTTP/1.1\r\nSec-WebSocket-Key1: 1\r\nSec-WebSocket-Key2: 2\r\n\r\n"
            + "GET /b HTTP/1.1\r\nConnection: close\r\n\r\n");
    assertThat(begun, is(List.of("/a ", "/b ")));
  }

  /** A request before bytes that are none is still answered, and the connection is closed. */
  @Test
  void requestBeforeBrokenOneIsAnswered() throws Exception {
    String answers = send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\nX-A b: 1\r\n\r\n");
    assertThat(answers, startsWith("HTTP/1.1 200"));
    assertThat(begun, is(List.of("/a ")));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /a HTTP/2.0",
        "GET /a HTTP/1.10",
        "GET /a HTTP/0.9",
        "GET /a http/1.1",
        "GET /a HTTQ/1.1",
        "GET /a ICY",
        "GET /a",
        "GET",
        "GET /a b HTTP/1.1",
        "GET /a HTTP/1.1 b",
        "GET /a\\x00 HTTP/1.1",
        "GET /a\\x07b HTTP/1.1",
        "GET /a\\x7fb HTTP/1.1",
        "GET\\x00 /a HTTP/1.1",
        "G\\x07ET /a HTTP/1.1",
        "G(T /a HTTP/1.1",
        "\\x00GET /a HTTP/1.1",
        "GET /a\\rb HTTP/1.1",
        "GET\\x0b/a HTTP/1.1"
      })
  void brokenRequestLineIsRefused(String line) throws Exception {
    checkIsRefused(line + "\r\nConnection: close\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X-A b: 1",
        "X-A : 1",
        "Content-Length : 4",
        "Content-Length 4: 4",
        "X-A\\x00: 1",
        "X-A\\x07b: 1",
        "X-A\\x7f: 1",
        "X-A\\xe9: 1",
        "X(A): 1",
        ": 1",
        "X-A",
        "X-A: 1\\x00",
        "X-A: 1\\x07",
        "X-A: 1\\x7f",
        "X-A: 1\\r2",
        "X-A: 1\\r"
      })
  void brokenFieldIsRefused(String field) throws Exception {
    checkIsRefused("GET /a HTTP/1.1\r\nHost: h\r\n" + field + "\r\nConnection: close\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(strings = {" X-A: 1", "\\tX-A: 1", " "})
  void blankBeforeTheFirstFieldIsRefused(String line) throws Exception {
    checkIsRefused("GET /a HTTP/1.1\r\n" + line + "\r\nConnection: close\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1\\r\\nContent-Length: 2\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
        "HTTP/1.0\\r\\nContent-Length: 2\\r\\nContent-Length: 4\\r\\n\\r\\nbody",
        "HTTP/1.1\\r\\nContent-Length: 2, 4\\r\\n\\r\\nbody",
        "HTTP/1.1\\r\\nContent-Length: +4\\r\\n\\r\\nbody",
        "HTTP/1.1\\r\\nContent-Length: 4 4\\r\\n\\r\\nbody",
        "HTTP/1.1\\r\\nContent-Length: four\\r\\n\\r\\nbody",
        "HTTP/1.1\\r\\nContent-Length:\\r\\n\\r\\nbody",
        "HTTP/1.1\\r\\nContent-Length: 99999999999999999999\\r\\n\\r\\nbody"
      })
  void brokenLengthIsRefused(String rest) throws Exception {
    checkIsRefused("POST /a " + rest);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1\\r\\nTransfer-Encoding: gzip",
        "HTTP/1.1\\r\\nTransfer-Encoding: identity",
        "HTTP/1.1\\r\\nTransfer-Encoding: xchunked",
        "HTTP/1.1\\r\\nTransfer-Encoding: xchunked\\r\\nContent-Length: 4",
        "HTTP/1.1\\r\\nTransfer-Encoding: gzip, chunked",
        "HTTP/1.1\\r\\nTransfer-Encoding: chunked, gzip",
        "HTTP/1.1\\r\\nTransfer-Encoding: chunked, chunked",
        "HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\nTransfer-Encoding: x",
        "HTTP/1.1\\r\\nTransfer-Encoding: \\x0bchunked",
        "HTTP/1.0\\r\\nTransfer-Encoding: chunked",
        "HTTP/1.1\\r\\nTransfer-Encoding: chunked\\r\\nContent-Length: 5"
      })
  void unknownTransferCodingIsRefused(String rest) throws Exception {
    checkIsRefused("POST /a " + rest + "\r\n\r\n0\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "4 \\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4\\x00\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        " 4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4 x\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "0x4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "+4\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4;a\\nb\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "3\\r\\nbody\\r\\n0\\r\\n\\r\\n",
        "4\\r\\nbodyXX\\r\\n0\\r\\n\\r\\n",
        "4\\r\\nbody0\\r\\n\\r\\n",
        "4\\r\\nbody\\r\\n0 \\r\\n\\r\\n",
        "4\\r\\nbody\\r\\n0\\r\\nX-A b: 1\\r\\n\\r\\n",
        "4\\r\\nbody\\r\\n0\\r\\nX-A\\r\\n\\r\\n"
      })
  void brokenChunksAreRefused(String body) throws Exception {
    checkIsRefused("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
  }
}
