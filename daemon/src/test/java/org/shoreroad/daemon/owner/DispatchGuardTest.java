package org.shoreroad.daemon.owner;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DispatchGuardTest {
  /** More than the socket buffers of both sides hold. */
  private static final int LONG_BODY_BYTES = 8 * 1_048_576;

  private static final int SHORT_BODY_BYTES = 100;
  private static final int RECEIVE_BUFFER_BYTES = 32_768;
  private static final int RESET_AFTER_MS = 200;
  private static final String HEAD = "HTTP/1.1 200 OK\r\n";

  private final DispatchGuard guard =
      DispatchGuard.of(System.nanoTime() + TimeUnit.MINUTES.toNanos(1));
  private final OkHttpClient client =
      DispatchGuard.addTo(new OkHttpClient.Builder()).retryOnConnectionFailure(false).build();
  private ServerSocket server;

  /** Ends a connection after an answer was written. */
  private interface End {
    void apply(Socket socket) throws Exception;
  }

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket();
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
  }

  /** Writes the answer at once, and ends the connection a little later. */
  private void answer(String answer, End end) {
    Thread thread =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                Thread.sleep(RESET_AFTER_MS);
                end.apply(socket);
              } catch (Exception e) {
                // Closed by the test.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
  }

  private String call(int bodyBytes) throws IOException {
    Request request =
        new Request.Builder()
            .url("http://127.0.0.1:" + server.getLocalPort() + "/")
            .tag(DispatchGuard.class, guard)
            .post(RequestBody.create(new byte[bodyBytes], null))
            .build();
    try (Response response = client.newCall(request).execute()) {
      return response.body().string();
    }
  }

  @Test
  void answerWithoutLengthThatIsResetWhileItsRequestIsWrittenFails() {
    answer(HEAD + "\r\nhalf", DispatchGuardTest::reset);
    assertThrows(IOException.class, () -> call(LONG_BODY_BYTES));
    assertThat(guard.mayHaveBeenSent(), is(true));
  }

  @Test
  void answerWithoutLengthThatIsResetAfterItsRequestWasWrittenFails() {
    answer(HEAD + "\r\nhalf", DispatchGuardTest::reset);
    assertThrows(IOException.class, () -> call(SHORT_BODY_BYTES));
  }

  @Test
  void answerWithoutLengthIsReadUntilAnOrderlyEnd() throws Exception {
    answer(HEAD + "\r\nwhole", socket -> socket.getInputStream().readNBytes(SHORT_BODY_BYTES));
    assertThat(call(SHORT_BODY_BYTES), is("whole"));
  }

  @Test
  void answerWithLengthIsReadAlthoughItsRequestWasNotWritten() throws Exception {
    answer(HEAD + "Content-Length: 5\r\n\r\nwhole", DispatchGuardTest::reset);
    assertThat(call(LONG_BODY_BYTES), is("whole"));
  }
}
