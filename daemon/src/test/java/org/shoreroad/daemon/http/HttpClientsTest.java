package org.shoreroad.daemon.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against answers that are no answers of HTTP but are read as one, and against a check that
 * refuses sound ones. In the parameters, {@code |} stands for a line break.
 */
class HttpClientsTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int MAX_REQUEST_BYTES = 10_000;

  private final OkHttpClient client = HttpClients.newBuilder().callTimeout(TIMEOUT).build();
  private ServerSocket server;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
  }

  private String answerTo(String text) throws IOException {
    answer(text);
    return call("GET");
  }

  private String call(String method) throws IOException {
    Request request =
        new Request.Builder()
            .url("http://127.0.0.1:" + server.getLocalPort() + "/")
            .method(method, null)
            .build();
    try (Response response = client.newCall(request).execute()) {
      return response.code() + " " + response.body().string();
    }
  }

  /** Answers the first request on the next connection, and ends the connection. */
  private void answer(String text) {
    byte[] answer = text.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                socket.getInputStream().read(new byte[MAX_REQUEST_BYTES]);
                socket.getOutputStream().write(answer);
              } catch (IOException e) {
                // Closed by the test.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 OK|Content-Length: 4||body",
        "HTTP/1.1 099 OK|Content-Length: 4||body",
        "HTTP/1.1 600 OK|Content-Length: 4||body",
        "HTTP/1.1 +20 OK|Content-Length: 4||body",
        "HTTP/1.1 -20 OK|Content-Length: 4||body",
        "HTTP/1.1 2000 OK|Content-Length: 4||body",
        "HTTP/2.0 200 OK|Content-Length: 4||body",
        "HTTP/1.1 200 OK|X-A b: 1|Content-Length: 4||body",
        "HTTP/1.1 200 OK|X-A\0: 1|Content-Length: 4||body",
        "HTTP/1.1 200 OK|X-A: 1\0|Content-Length: 4||body",
        "HTTP/1.1 200 OK|: 1|Content-Length: 4||body",
        "HTTP/1.1 200 OK|X-A|Content-Length: 4||body",
        "HTTP/1.1 200 OK|Content-Length: 4|Content-Length: 2||body",
        "HTTP/1.1 200 OK|Content-Length: +4||body",
        "HTTP/1.1 200 OK|Content-Length: four||body",
        "HTTP/1.1 200 OK|Content-Length : 5||body",
        "HTTP/1.1 200 OK|Content-Length: 5, 5||body",
        "HTTP/1.1 200 OK|Content-Length: 5||body",
        "HTTP/1.1 200 OK|Transfer-Encoding : chunked||4|body|0||",
        "HTTP/1.1 200 OK|Transfer-Encoding: gzip|Content-Length: 4||body",
        "HTTP/1.1 200 OK|Transfer-Encoding: gzip, chunked||4|body|0||",
        "HTTP/1.0 200 OK|Transfer-Encoding: chunked||4|body|0||"
      })
  void brokenHeadIsNoAnswer(String answer) {
    assertThrows(IOException.class, () -> answerTo(answer));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200|Content-Length: 4||body",
        "HTTP/1.1 200 |content-length:4||body",
        "HTTP/1.0 200 OK|X-A:|Content-Length: 4||body",
        "HTTP/1.1 200 OK|X-A : 1|Content-Length: 4||body",
        "HTTP/1.1 200 OK|X-A: caf\u00e9|Content-Length: 4|Content-Length: 4||body",
        "HTTP/1.1 200 OK|Transfer-Encoding: Chunked||4;a=b|body|0|X-B: 1||",
        "HTTP/1.1 100 Continue||HTTP/1.1 200 OK|Content-Length: 4||body",
        "HTTP/1.1 200 OK|Connection: close||body"
      })
  void unusualAnswerIsRead(String answer) throws Exception {
    assertThat(answerTo(answer), is("200 body"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"404", "418", "500", "599"})
  void unusualStatusIsRead(String status) throws Exception {
    String answer = "HTTP/1.1 " + status + " No|Content-Length: 4||body";
    assertThat(answerTo(answer), is(status + " body"));
  }

  @Test
  void answersOnOneConnectionAreRead() throws Exception {
    byte[] answer =
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody".getBytes(StandardCharsets.US_ASCII);
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                while (socket.getInputStream().read(new byte[MAX_REQUEST_BYTES]) >= 0) {
                  socket.getOutputStream().write(answer);
                }
              } catch (IOException e) {
                // Closed by the test.
              }
            });
    thread.setDaemon(true);
    thread.start();
    assertThat(call("GET") + call("GET"), is("200 body200 body"));
  }

  /** The length in such an answer is that of a body which is not sent. */
  @Test
  void answerToHeadIsReadAndTheNextOneToo() throws Exception {
    answer("HTTP/1.1 200 OK|Content-Length: 4||");
    assertThat(call("HEAD"), is("200 "));
    assertThat(answerTo("HTTP/1.1 200 OK|Content-Length: 4||body"), is("200 body"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "4 |body|0||",
        "4\0|body|0||",
        "0x4|body|0||",
        "+4|body|0||",
        "4|bodyXX|0||",
        "3|body|0||",
        "4|body|0 ||",
        "4|body|0|X-A b: 1||"
      })
  void brokenChunksAreNoAnswer(String body) {
    String head = "HTTP/1.1 200 OK|Transfer-Encoding: chunked||";
    assertThrows(IOException.class, () -> answerTo(head + body));
  }
}
