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
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests a server that does not read what it is sent. */
class UnreadRequestTest {
  /** More than the socket buffers of both sides hold. */
  private static final int BODY_BYTES = 32 * 1_048_576;

  private static final int WAIT_S = 10;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final HttpCalls calls = new HttpCalls(loop, System::nanoTime, 500);
  private final CompletableFuture<String> ended = new CompletableFuture<>();

  private final CallListener listener =
      new CallListener() {
        @Override
        public boolean onHead(HttpResponse head) {
          return true;
        }

        @Override
        public void onContent(ByteBuf content) {}

        @Override
        public void onEnd() {
          ended.complete("end");
        }

        @Override
        public void onFailure(CallFailure failure) {
          ended.complete("failure");
        }
      };

  @AfterEach
  void stop() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private FullHttpRequest send(ServerSocket server, int bodyBytes) throws Exception {
    String address = "127.0.0.1:" + server.getLocalPort();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            "/",
            Unpooled.directBuffer(bodyBytes).writeZero(bodyBytes));
    request.headers().set("Content-Length", bodyBytes);
    loop.submit(() -> calls.send(address, request, 10, listener)).sync();
    return request;
  }

  private static void awaitRelease(FullHttpRequest request) throws Exception {
    for (int i = 0; i < WAIT_S * 100 && request.refCnt() > 0; i++) {
      Thread.sleep(10);
    }
    assertThat(request.refCnt(), is(0));
  }

  @Test
  void aRequestThatWasAnsweredBeforeItWasReadIsReleased() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      FullHttpRequest request = send(server, BODY_BYTES);
      try (Socket socket = server.accept()) {
        String answer = "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n";
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        assertThat(ended.get(WAIT_S, TimeUnit.SECONDS), is("end"));
        awaitRelease(request);
      }
    }
  }

  @Test
  void aConnectionIsReusedOnceTheRequestWasWritten() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      send(server, 1_000);
      try (Socket socket = server.accept()) {
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        assertThat(ended.get(WAIT_S, TimeUnit.SECONDS), is("end"));
        send(server, 1_000);
        assertThat(loop.submit(calls::connectionsOpened).get(), is(1L));
      }
    }
  }
}
