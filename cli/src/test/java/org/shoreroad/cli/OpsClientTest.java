package org.shoreroad.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a malformed answer that is reported as a refusal of a change, which may have been
 * accepted. In the parameters, {@code |} stands for a line break.
 */
class OpsClientTest {
  private static final int MAX_REQUEST_BYTES = 10_000;

  private ServerSocket server;
  private OpsClient client;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    client = new OpsClient("http://127.0.0.1:" + server.getLocalPort(), "token");
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
  }

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
        "HTTP/1.1 000 OK|Content-Length: 2||{}",
        "HTTP/1.1 099 OK|Content-Length: 2||{}",
        "HTTP/1.1 600 OK|Content-Length: 2||{}",
        "HTTP/1.1 -20 OK|Content-Length: 2||{}",
        "HTTP/1.1 2000 OK|Content-Length: 2||{}",
        "HTTP/1.1 200 OK|X-A b: 1|Content-Length: 2||{}",
        "HTTP/1.1 200 OK|X-A\0: 1|Content-Length: 2||{}",
        "HTTP/1.1 400 OK|X-A: 1\0|Content-Length: 2||{}"
      })
  void malformedAnswerToChangeIsNoRefusal(String answer) {
    answer(answer);
    CommandException failure =
        assertThrows(CommandException.class, () -> client.post("apply", "{}"));
    assertThat(failure.exitCode(), is(ExitCode.UNKNOWN));
  }

  @Test
  void malformedAnswerToQueryIsNoAnswer() {
    answer("HTTP/1.1 000 OK|Content-Length: 2||{}");
    CommandException failure = assertThrows(CommandException.class, () -> client.get("status"));
    assertThat(failure.exitCode(), is(ExitCode.UNREACHABLE));
  }

  /** Guards against an accepted change that is reported as not sent. */
  @ParameterizedTest
  @ValueSource(ints = {1, 5_000, 100_000})
  void unreadableTextInAnswerToChangeIsNoRefusal(int depth) {
    answer("HTTP/1.1 200 OK|Content-Length: " + depth + "||" + "[".repeat(depth));
    CommandException failure =
        assertThrows(CommandException.class, () -> client.post("apply", "{}"));
    assertThat(failure.exitCode(), is(ExitCode.UNKNOWN));
  }

  /** Guards against a token beyond ASCII that is reported as an invalid address. */
  @Test
  void tokenIsSentInUtf8() throws Exception {
    String url = "http://127.0.0.1:" + server.getLocalPort();
    CompletableFuture<String> request = new CompletableFuture<>();
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                byte[] head = new byte[MAX_REQUEST_BYTES];
                int length = socket.getInputStream().read(head);
                request.complete(new String(head, 0, length, StandardCharsets.UTF_8));
                socket
                    .getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}".getBytes());
              } catch (IOException e) {
                request.completeExceptionally(e);
              }
            });
    thread.setDaemon(true);
    thread.start();
    assertThat(new OpsClient(url, "ключ-é").get("status").isEmpty(), is(true));
    assertThat(
        request.get(10, TimeUnit.SECONDS), containsString("Authorization: Bearer ключ-é\r\n"));
  }

  /** Guards against a token that ends the header and is reported as an invalid address. */
  @ParameterizedTest
  @ValueSource(strings = {"a\r\nX: b", " a", "a ", "\u0000", "a\ud800"})
  void tokenThatNoHeaderCarriesIsRefused(String token) {
    OpsClient unsendable = new OpsClient("http://127.0.0.1:1", token);
    CommandException failure = assertThrows(CommandException.class, () -> unsendable.get("status"));
    assertThat(failure.exitCode(), is(ExitCode.USAGE));
    assertThat(failure.getMessage(), containsString("token"));
  }

  @Test
  void unusualAnswerIsRead() {
    answer("HTTP/1.0 200|X-A : caf\u00e9|content-length:0002||{}");
    assertThat(client.get("status").isEmpty(), is(true));
  }

  @Test
  void refusalIsReported() {
    answer("HTTP/1.1 409 No|Content-Length: 2||{}");
    CommandException failure =
        assertThrows(CommandException.class, () -> client.post("apply", "{}"));
    assertThat(failure.exitCode(), is(ExitCode.REFUSED));
  }
}
