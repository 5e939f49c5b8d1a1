package org.shoreroad.edge.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.edge.caller.HeaderNames;
import org.shoreroad.edge.http.CallListener;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.http.UpstreamCall;
import org.shoreroad.edge.http.UpstreamCalls;
import org.shoreroad.edge.peer.PeerFrames;
import org.shoreroad.edge.relay.PathCheck;
import org.shoreroad.fleet.FleetBox;

/**
 * Guards against an answer without a length that is reset at the process that sends the call for
 * another one, and is reported to that one as complete.
 */
class ForwardedUnframedAnswerTest {
  private static final HeaderNames NAMES =
      new HeaderNames(
          "X-Attempt", "D", "M", "T", "L", "E", "A", "R", "S", "N", "I", "V", "H", "C", "P");

  /** More than the socket buffers of both sides hold. */
  private static final int LONG_BODY_BYTES = 8 * 1_048_576;

  private static final int RECEIVE_BUFFER_BYTES = 32_768;
  private static final int WAIT_S = 10;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final EventLog log = new EventLog("t", System::nanoTime, OutputStream.nullOutputStream());
  private final BlockingQueue<String> messages = new LinkedBlockingQueue<>();
  private final HttpCalls calls = new HttpCalls(loop, System::nanoTime, 500);
  private final ForwardServer forwards =
      new ForwardServer(
          new RepeatingTimer(loop, log),
          new EdgeMetrics(),
          NAMES,
          new UnlimitedCalls(),
          calls,
          new SoundPaths(),
          System::nanoTime,
          id -> box());
  private ServerSocket upstream;

  /** Calls without a limit on connections. */
  private final class UnlimitedCalls implements UpstreamCalls {
    @Override
    public UpstreamCall send(
        FleetBox box, FullHttpRequest request, int maxConnections, CallListener listener) {
      return calls.send(box, request, Integer.MAX_VALUE, listener);
    }

    @Override
    public void sweep() {
      // Not used here.
    }
  }

  /** Check of paths that always succeeds. */
  private static final class SoundPaths implements PathCheck {
    @Override
    public void confirm(String service, long sinceNanos, Consumer<Boolean> callback) {
      callback.accept(true);
    }

    @Override
    public void suspect(FleetBox box) {
      // Not used here.
    }
  }

  /** Connection to the process that has the caller; records what is sent on it. */
  private final class RecordedReplies implements PeerFrames.Replies {
    @Override
    public boolean isOpen() {
      return true;
    }

    @Override
    public void send(byte[] frame) {
      sendReliably(frame);
    }

    @Override
    public void sendReliably(byte[] frame) {
      try {
        messages.add(ForwardCodec.parse(frame).orElseThrow().getClass().getSimpleName());
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    @Override
    public boolean isWritable() {
      return true;
    }

    @Override
    public long pendingBytes() {
      return 0;
    }

    @Override
    public void onClose(Runnable listener) {
      // Stays open.
    }
  }

  private FleetBox box() {
    String address = "127.0.0.1:" + upstream.getLocalPort();
    return new FleetBox("web-1", "web", address, "z", 6, false, null, null, List.of(), null);
  }

  @BeforeEach
  void start() throws Exception {
    upstream = new ServerSocket();
    upstream.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    upstream.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  @AfterEach
  void stop() throws Exception {
    upstream.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private Socket accept(int bodyBytes) throws Exception {
    ForwardMessage call =
        new ForwardMessage.Call(
            1, "web-1", "POST", "/", List.of(), 1, bodyBytes, new byte[bodyBytes]);
    PeerFrames.Replies replies = new RecordedReplies();
    loop.submit(
            () -> {
              forwards.receive(ForwardCodec.toBytes(call), replies);
              return null;
            })
        .sync();
    Socket socket = upstream.accept();
    String part = "HTTP/1.1 200 OK\r\n\r\nhalf";
    socket.getOutputStream().write(part.getBytes(StandardCharsets.UTF_8));
    assertThat(nextMessage(), is("Head"));
    assertThat(nextMessage(), is("Content"));
    return socket;
  }

  private String nextMessage() throws InterruptedException {
    return messages.poll(WAIT_S, TimeUnit.SECONDS);
  }

  @Test
  void answerThatIsResetWhileItsRequestIsWrittenFails() throws Exception {
    Socket socket = accept(LONG_BODY_BYTES);
    socket.setSoLinger(true, 0);
    socket.close();
    assertThat(nextMessage(), is("Failed"));
  }

  @Test
  void answerThatIsResetAfterItsRequestWasWrittenFails() throws Exception {
    Socket socket = accept(10);
    socket.setSoLinger(true, 0);
    socket.close();
    assertThat(nextMessage(), is("Failed"));
  }

  @Test
  void answerThatEndsInOrderIsReportedAsComplete() throws Exception {
    Socket socket = accept(0);
    socket.shutdownOutput();
    assertThat(nextMessage(), is("End"));
    socket.close();
  }
}
