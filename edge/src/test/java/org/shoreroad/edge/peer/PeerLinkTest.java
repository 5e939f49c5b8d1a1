package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PeerLinkTest implements PeerLink.Listener {
  private static final int WAIT_SECONDS = 5;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final AtomicLong offsetNanos = new AtomicLong();
  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private ServerSocket listening;
  private PeerLink link;

  @BeforeEach
  void listen() throws Exception {
    listening = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    String address = "127.0.0.1:" + listening.getLocalPort();
    link = new PeerLink(loop, () -> System.nanoTime() + offsetNanos.get(), address, this);
  }

  @AfterEach
  void close() throws Exception {
    listening.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  @Override
  public void onFrame(byte[] frame) {
    events.add("frame " + frame[0]);
  }

  @Override
  public void onLost() {
    events.add("lost");
  }

  private boolean send(int content) throws Exception {
    return loop.submit(() -> link.send(new byte[] {(byte) content})).get();
  }

  private String nextEvent() throws Exception {
    return String.valueOf(events.poll(WAIT_SECONDS, TimeUnit.SECONDS));
  }

  private static int readFrame(DataInputStream in) throws Exception {
    assertThat(in.readInt(), is(1));
    return in.read();
  }

  @Test
  void framesBeforeTheOpeningArriveInOrderAndAreReplied() throws Exception {
    assertThat(send(7), is(true));
    assertThat(send(8), is(true));
    try (Socket socket = listening.accept()) {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      assertThat(readFrame(in), is(7));
      assertThat(readFrame(in), is(8));
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(1);
      out.write(9);
      assertThat(nextEvent(), is("frame 9"));
    }
    assertThat(nextEvent(), is("lost"));
  }

  @Test
  void theQueueBeforeTheOpeningIsBounded() throws Exception {
    boolean[] isSent = new boolean[PeerLink.MAX_QUEUED + 1];
    loop.submit(
            () -> {
              for (int i = 0; i < isSent.length; i++) {
                isSent[i] = link.send(new byte[] {1});
              }
            })
        .sync();
    assertThat(isSent[PeerLink.MAX_QUEUED - 1], is(true));
    assertThat(isSent[PeerLink.MAX_QUEUED], is(false));
  }

  @Test
  void aRefusedConnectionIsReportedAndNotTriedAgainAtOnce() throws Exception {
    listening.close();
    assertThat(send(1), is(true));
    assertThat(nextEvent(), is("lost"));
    assertThat(send(2), is(false));
    offsetNanos.set(TimeUnit.SECONDS.toNanos(1));
    assertThat(send(3), is(true));
    assertThat(nextEvent(), is("lost"));
  }

  @Test
  void anIdleLinkIsClosedWithoutALoss() throws Exception {
    send(7);
    try (Socket socket = listening.accept()) {
      assertThat(readFrame(new DataInputStream(socket.getInputStream())), is(7));
      long nowNanos = System.nanoTime();
      assertThat(loop.submit(() -> link.closeIfIdle(nowNanos)).get(), is(false));
      long laterNanos = nowNanos + TimeUnit.SECONDS.toNanos(20);
      assertThat(loop.submit(() -> link.closeIfIdle(laterNanos)).get(), is(true));
      assertThat(socket.getInputStream().read(), is(-1));
    }
    loop.submit(() -> {}).sync();
    assertThat(events.isEmpty(), is(true));
  }
}
