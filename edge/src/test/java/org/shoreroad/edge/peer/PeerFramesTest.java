package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.member.HubPlan.ProcessLocation;

/** Tests frames that are neither heartbeats nor notices, over the port for other processes. */
class PeerFramesTest implements PeerMesh.HeartbeatSource {
  private static final int MARK = 2;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final EventLog log = new EventLog("t", System::nanoTime, OutputStream.nullOutputStream());
  private final PeerMesh mesh =
      new PeerMesh(
          loop,
          System::nanoTime,
          log,
          new ProcessLocation("front-1~a", "z"),
          this,
          heartbeat -> {});
  private Socket socket;

  @BeforeEach
  void open() throws Exception {
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    InetSocketAddress bound =
        (InetSocketAddress)
            loop.submit(() -> mesh.start(any)).sync().getNow().sync().channel().localAddress();
    socket = new Socket(bound.getAddress(), bound.getPort());
    socket.setSoTimeout(5_000);
  }

  @AfterEach
  void close() throws Exception {
    socket.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  @Override
  public Heartbeat make(String sender, long sentNanos) {
    return Heartbeats.of(sender).bare();
  }

  @Override
  public ListUpdate listSince(StorePosition position) {
    return ListUpdate.NONE;
  }

  @Override
  public void onSent() {}

  private void setReceiver() throws Exception {
    PeerFrames receiver =
        new PeerFrames() {
          @Override
          public boolean accepts(byte[] frame) {
            return frame[0] == MARK;
          }

          @Override
          public void receive(byte[] frame, Replies replies) throws IOException {
            if (frame.length > 2) {
              throw new IOException("too long");
            }
            replies.send(new byte[] {MARK, (byte) (frame[1] + 1)});
          }
        };
    loop.submit(() -> mesh.addFrameReceiver(receiver)).sync();
  }

  private void send(int... bytes) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(bytes.length);
    for (int one : bytes) {
      out.write(one);
    }
  }

  @Test
  void aFrameIsRepliedOnItsConnection() throws Exception {
    setReceiver();
    send(MARK, 7);
    DataInputStream in = new DataInputStream(socket.getInputStream());
    assertThat(in.readInt(), is(2));
    assertThat(in.read(), is(MARK));
    assertThat(in.read(), is(8));
  }

  @Test
  void anUnreadableFrameClosesItsConnection() throws Exception {
    setReceiver();
    send(MARK, 7, 7);
    assertThat(socket.getInputStream().read(), is(-1));
  }

  @Test
  void withoutAReceiverAFrameIsUnreadableAsInEarlierReleases() throws Exception {
    send(MARK, 7);
    assertThat(socket.getInputStream().read(), is(-1));
  }
}
