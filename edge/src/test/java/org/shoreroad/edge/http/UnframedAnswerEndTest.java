package org.shoreroad.edge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests each way in which a connection ends while an answer without a length arrives. Only an
 * orderly end by the server makes such an answer complete.
 */
class UnframedAnswerEndTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
  private static final String CHUNKED_HEAD =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String END = "end";

  /** More than the socket buffers of both sides hold. */
  private static final int LONG_BODY_BYTES = 8 * 1_048_576;

  private static final int SHORT_BODY_BYTES = 1_000;
  private static final int RECEIVE_BUFFER_BYTES = 32_768;
  private static final int WAIT_S = 10;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final HttpCalls calls = new HttpCalls(loop, System::nanoTime, 500);
  private final CompletableFuture<String> begun = new CompletableFuture<>();
  private final CompletableFuture<String> ended = new CompletableFuture<>();
  private final StringBuilder received = new StringBuilder();
  private ServerSocket server;

  private final CallListener listener =
      new CallListener() {
        @Override
        public boolean onHead(HttpResponse head) {
          return true;
        }

        @Override
        public void onContent(ByteBuf content) {
          received.append(content.toString(StandardCharsets.UTF_8));
          begun.complete(received.toString());
        }

        @Override
        public void onEnd() {
          ended.complete(END);
        }

        @Override
        public void onFailure(CallFailure failure) {
          ended.complete(failure.reason().code() + (failure.isSent() ? ", sent" : ", not sent"));
        }
      };

  @BeforeEach
  void start() throws Exception {
    server = new ServerSocket();
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void stop() throws Exception {
    server.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private Socket accept(int bodyBytes) throws Exception {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            "/",
            Unpooled.directBuffer(bodyBytes).writeZero(bodyBytes));
    request.headers().set("Content-Length", bodyBytes);
    loop.submit(() -> calls.send(address(), request, 10, listener)).sync();
    return server.accept();
  }

  private String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  private static void readRequest(Socket socket, int bodyBytes) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) socket.getInputStream().read());
    }
    socket.getInputStream().readNBytes(bodyBytes);
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private String awaitEnd() throws Exception {
    return ended.get(WAIT_S, TimeUnit.SECONDS);
  }

  private void awaitBegin() throws Exception {
    begun.get(WAIT_S, TimeUnit.SECONDS);
  }

  @Test
  void answerIsCompleteAfterAnOrderlyEnd() throws Exception {
    try (Socket socket = accept(SHORT_BODY_BYTES)) {
      readRequest(socket, SHORT_BODY_BYTES);
      write(socket, HEAD + "whole");
    }
    assertThat(awaitEnd(), is(END));
    assertThat(received.toString(), is("whole"));
  }

  @Test
  void answerThatBeginsBeforeTheRequestIsReadIsCompleteAfterAnOrderlyEnd() throws Exception {
    try (Socket socket = accept(LONG_BODY_BYTES)) {
      write(socket, HEAD + "first ");
      awaitBegin();
      readRequest(socket, LONG_BODY_BYTES);
      write(socket, "last");
    }
    assertThat(awaitEnd(), is(END));
    assertThat(received.toString(), is("first last"));
  }

  @Test
  void answerThatIsResetWhileTheConnectionIsOnlyReadIsIncomplete() throws Exception {
    Socket socket = accept(SHORT_BODY_BYTES);
    readRequest(socket, SHORT_BODY_BYTES);
    write(socket, HEAD + "half");
    awaitBegin();
    reset(socket);
    assertThat(awaitEnd(), is("broken, sent"));
  }

  @Test
  void answerThatIsResetWhileTheRequestIsBeingWrittenIsIncomplete() throws Exception {
    Socket socket = accept(LONG_BODY_BYTES);
    write(socket, HEAD + "half");
    awaitBegin();
    reset(socket);
    assertThat(awaitEnd(), is("broken, sent"));
  }

  @Test
  void answerWhoseConnectionThisProcessClosesIsIncomplete() throws Exception {
    try (Socket socket = accept(SHORT_BODY_BYTES)) {
      readRequest(socket, SHORT_BODY_BYTES);
      write(socket, HEAD + "half");
      awaitBegin();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
      assertThat(awaitEnd(), is("broken, sent"));
    }
  }

  @Test
  void answerWhoseCallIsCancelledHasNoEnd() throws Exception {
    CompletableFuture<HttpCall> sent = new CompletableFuture<>();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
    loop.submit(() -> sent.complete(calls.send(address(), request, 10, listener))).sync();
    try (Socket socket = server.accept()) {
      write(socket, HEAD + "half");
      awaitBegin();
      loop.submit(() -> sent.getNow(null).cancel()).sync();
      assertThat(socket.getInputStream().readNBytes(1_000).length < 1_000, is(true));
    }
    loop.submit(() -> {}).sync();
    assertThat(ended.isDone(), is(false));
  }

  @Test
  void answerThatEndsInsideItsHeadIsIncomplete() throws Exception {
    try (Socket socket = accept(SHORT_BODY_BYTES)) {
      readRequest(socket, SHORT_BODY_BYTES);
      write(socket, "HTTP/1.1 200 OK\r\nX-A: ");
    }
    assertThat(awaitEnd(), is("malformed, sent"));
  }

  @Test
  void answerThatEndsBeforeItsHeadIsIncomplete() throws Exception {
    try (Socket socket = accept(SHORT_BODY_BYTES)) {
      readRequest(socket, SHORT_BODY_BYTES);
    }
    assertThat(awaitEnd(), is("broken, sent"));
  }

  @Test
  void answerThatEndsBeforeItsStatedLengthIsIncomplete() throws Exception {
    try (Socket socket = accept(SHORT_BODY_BYTES)) {
      readRequest(socket, SHORT_BODY_BYTES);
      write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhalf");
    }
    assertThat(awaitEnd(), is("broken, sent"));
  }

  @Test
  void answerThatEndsInsideAChunkIsIncomplete() throws Exception {
    try (Socket socket = accept(SHORT_BODY_BYTES)) {
      readRequest(socket, SHORT_BODY_BYTES);
      write(socket, CHUNKED_HEAD + "5\r\nhal");
    }
    assertThat(awaitEnd(), is("broken, sent"));
  }

  @Test
  void answerThatEndsBeforeItsLastChunkIsIncomplete() throws Exception {
    try (Socket socket = accept(SHORT_BODY_BYTES)) {
      readRequest(socket, SHORT_BODY_BYTES);
      write(socket, CHUNKED_HEAD + "4\r\nhalf\r\n");
    }
    assertThat(awaitEnd(), is("broken, sent"));
  }

  @Test
  void idleConnectionThatTheServerEndsIsNotUsedAgain() throws Exception {
    try (Socket socket = accept(SHORT_BODY_BYTES)) {
      readRequest(socket, SHORT_BODY_BYTES);
      write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      assertThat(awaitEnd(), is(END));
      socket.shutdownOutput();
      // The end of the stream shows that this process has closed its side.
      assertThat(socket.getInputStream().read(), is(-1));
    }
    try (Socket socket = accept(SHORT_BODY_BYTES)) {
      readRequest(socket, SHORT_BODY_BYTES);
      assertThat(loop.submit(calls::connectionsOpened).get(), is(2L));
    }
  }
}
