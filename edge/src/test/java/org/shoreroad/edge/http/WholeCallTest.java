package org.shoreroad.edge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shoreroad.http.SyntaxFault;

/** Guards the calls that collect their answers against answers that never end, or are none. */
class WholeCallTest {
  private static final int TIMEOUT_MS = 5_000;
  private static final int PROMPT_MS = 2_000;
  private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final HttpCalls calls = new HttpCalls(loop, System::nanoTime, 500);
  private final CompletableFuture<String> ended = new CompletableFuture<>();
  private final CompletableFuture<Boolean> closed = new CompletableFuture<>();
  private final List<SyntaxFault> faults = new CopyOnWriteArrayList<>();
  private ServerSocket server;

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private String callEndless(String start, String piece) throws Exception {
    writeEndless(start, piece);
    String outcome = call();
    assertThat(closed.get(PROMPT_MS, TimeUnit.MILLISECONDS), is(true));
    return outcome;
  }

  private void writeEndless(String start, String piece) {
    byte[] pieces = piece.repeat(1_000).getBytes(StandardCharsets.UTF_8);
    Thread writer =
        new Thread(
            () -> {
              try (Socket socket = server.accept()) {
                OutputStream out = socket.getOutputStream();
                out.write(start.getBytes(StandardCharsets.UTF_8));
                while (true) {
                  out.write(pieces);
                }
              } catch (IOException e) {
                closed.complete(true);
              }
            });
    writer.setDaemon(true);
    writer.start();
  }

  private String call() throws Exception {
    String address = "127.0.0.1:" + server.getLocalPort();
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    WholeCall.Callback callback =
        new WholeCall.Callback() {
          @Override
          public void onAnswer(int status, HttpHeaders headers, byte[] body) {
            ended.complete("answer");
          }

          @Override
          public void onFailure(CallFailure failure) {
            ended.complete(failure.reason().code() + (failure.isSent() ? ", sent" : ""));
          }
        };
    loop.submit(() -> WholeCall.send(calls, loop, address, request, TIMEOUT_MS, callback)).sync();
    return ended.get(PROMPT_MS, TimeUnit.MILLISECONDS);
  }

  /** Reports of upstreams and answers of the store are read in this way; they prove something. */
  @ParameterizedTest
  @CsvSource({
    "'HTTP/1.1 +200 OK|Content-Length: 2||{}', STATUS",
    "'HTTP/1.1 000 OK|Content-Length: 2||{}', STATUS",
    "'HTTP/1.1 200 OK|X-Era 2: 7|Content-Length: 2||{}', FIELD_NAME",
    "'HTTP/1.1 200 OK|Content-Length x: 1|Content-Length: 2||{}', FIELD_NAME",
    "'HTTP/1.0 200 OK|Content-Length: 1|Content-Length: 2||{}', LENGTH",
    "'HTTP/1.1 200 OK|Transfer-Encoding: gzip|Content-Length: 2||{}', TRANSFER_CODING",
    "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||1|{}|0||', CHUNK",
    "'HTTP/1.1 101 Switching|||', UPGRADE"
  })
  void malformedAnswerIsNoAnswerAndIsCounted(String answer, SyntaxFault expected) throws Exception {
    loop.submit(() -> calls.setFaultListener((address, fault) -> faults.add(fault))).sync();
    writeEndless(answer.replace("|", "\r\n"), "");
    assertThat(call(), is("malformed, sent"));
    assertThat(faults, is(List.of(expected)));
  }

  @Test
  void bodyIsCollectedUpToALimit() throws Exception {
    assertThat(callEndless(CHUNKED, "a\r\n0123456789\r\n"), is("too_long, sent"));
  }

  @Test
  void informationalHeadsAreReadUpToALimit() throws Exception {
    assertThat(callEndless("", "HTTP/1.1 102 Processing\r\n\r\n"), is("too_long, sent"));
  }
}
