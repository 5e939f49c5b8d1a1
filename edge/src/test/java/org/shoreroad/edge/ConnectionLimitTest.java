package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.caller.AnsweredExchange;
import org.shoreroad.edge.caller.CallerServer;
import org.shoreroad.edge.relay.TrafficMeter;
import org.shoreroad.traffic.CallerLimits;

class ConnectionLimitTest {
  private static final int READ_TIMEOUT_MS = 10_000;
  private static final int DESCRIPTORS = 8;

  private final EdgeMetrics metrics = new EdgeMetrics();

  /** Returns true if a request on the connection is answered, false if it was closed. */
  private static boolean isAnswered(Socket socket) {
    try {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      socket
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int next = socket.getInputStream().read();
        if (next < 0) {
          return false;
        }
        head.append((char) next);
      }
      return head.indexOf("HTTP/1.1 200") == 0;
    } catch (IOException e) {
      return false;
    }
  }

  /** Guards against callers' connections that leave no descriptor for those to upstreams. */
  @Test
  void callersHaveThreeQuartersOfTheDescriptors() throws Exception {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    EventLoop loop = group.next();
    EventLog log = new EventLog("n", System::nanoTime, OutputStream.nullOutputStream());
    CallerServer server =
        new CallerServer(
            loop,
            System::nanoTime,
            () -> CallerLimits.DEFAULT,
            (request, answers) -> {
              request.body().release();
              answers.answer(
                  HttpResponseStatus.OK, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
              return AnsweredExchange.INSTANCE;
            },
            reason -> {});
    new ConnectionLimit(
        server,
        new TrafficMeter(System::nanoTime, "z", metrics),
        System::nanoTime,
        log,
        metrics,
        DESCRIPTORS);
    InetSocketAddress address =
        (InetSocketAddress)
            server
                .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress();
    List<Socket> sockets = new ArrayList<>();
    List<Boolean> answered = new ArrayList<>();
    try {
      for (int i = 0; i < DESCRIPTORS; i++) {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        sockets.add(socket);
        answered.add(isAnswered(socket));
      }
      assertThat(answered, is(List.of(true, true, true, true, true, true, false, false)));
      assertThat(isAnswered(sockets.get(0)), is(true));
      assertThat(
          loop.submit(metrics::toPrometheusText).get(),
          containsString("closed_unread_total{reason=\"descriptors\"} 2"));
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }
}
