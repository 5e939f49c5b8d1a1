package org.shoreroad.edge.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.edge.caller.HeaderNames;
import org.shoreroad.edge.http.CallFailure;
import org.shoreroad.edge.http.CallListener;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.http.UpstreamCall;
import org.shoreroad.edge.http.UpstreamCalls;
import org.shoreroad.edge.peer.PeerFrames;
import org.shoreroad.edge.relay.PathCheck;
import org.shoreroad.fleet.FleetBox;

/** Tests of calls that this process sends for others, with fakes of the link and the upstreams. */
class ForwardServerTest {
  private static final HeaderNames NAMES =
      new HeaderNames(
          "X-Attempt", "D", "M", "T", "L", "E", "A", "R", "S", "N", "I", "V", "H", "C", "P");
  private static final FleetBox BOX =
      new FleetBox("web-1", "web", "127.0.0.1:1", "z", 6, false, null, null, List.of(), null);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final EventLog log = new EventLog("t", () -> 0, OutputStream.nullOutputStream());
  private final List<FullHttpRequest> sent = new ArrayList<>();
  private final List<String> cancelled = new ArrayList<>();
  private final FakeReplies replies = new FakeReplies();
  private final FakePaths paths = new FakePaths();
  private final ForwardServer server =
      new ForwardServer(
          new RepeatingTimer(channel.eventLoop(), log),
          new EdgeMetrics(),
          NAMES,
          new FakeCalls(),
          new HttpCalls(channel.eventLoop(), () -> 0, 100),
          paths,
          () -> TimeUnit.HOURS.toNanos(1),
          id -> id.equals("web-1") ? BOX : null);

  /** Check of paths whose result comes when the test wants it. */
  private static final class FakePaths implements PathCheck {
    private final List<Consumer<Boolean>> waiting = new ArrayList<>();

    @Override
    public void confirm(String service, long sinceNanos, Consumer<Boolean> callback) {
      waiting.add(callback);
    }

    @Override
    public void suspect(FleetBox box) {
      // Not used here.
    }

    private void end(boolean isReached) {
      List.copyOf(waiting).forEach(callback -> callback.accept(isReached));
      waiting.clear();
    }
  }

  private final List<CallListener> listeners = new ArrayList<>();

  private final class FakeCalls implements UpstreamCalls {
    @Override
    public UpstreamCall send(
        FleetBox box, FullHttpRequest request, int maxConnections, CallListener listener) {
      sent.add(request);
      listeners.add(listener);
      return new UpstreamCall() {
        @Override
        public void cancel() {
          cancelled.add(request.uri());
        }

        @Override
        public void setReading(boolean isReading) {
          // Not used here.
        }

        @Override
        public boolean isSent() {
          return true;
        }

        @Override
        public boolean isDirect() {
          return true;
        }
      };
    }

    @Override
    public void sweep() {
      // Not used here.
    }
  }

  private static final class FakeReplies implements PeerFrames.Replies {
    private final List<String> messages = new ArrayList<>();
    private Runnable closeListener = () -> {};
    private long pendingBytes;

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
        messages.add(String.valueOf(ForwardCodec.parse(frame).orElseThrow()));
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
      return pendingBytes;
    }

    @Override
    public void onClose(Runnable listener) {
      closeListener = listener;
    }
  }

  private void receive(ForwardMessage message) throws IOException {
    server.receive(ForwardCodec.toBytes(message), replies);
  }

  private void receiveCall(long number, String upstream, int bodyBytes) throws IOException {
    receive(
        new ForwardMessage.Call(
            number, upstream, "POST", "/" + number, List.of(), 1, bodyBytes, new byte[0]));
  }

  @Test
  void callIsSentOnceThePathIsConfirmed() throws Exception {
    receiveCall(7, "web-1", 0);
    assertThat(sent, is(empty()));
    paths.end(true);
    assertThat(sent.get(0).uri(), is("/7"));
    assertThat(server.openCount(), is(1));
  }

  @Test
  void callIsNotSentOnLostPath() throws Exception {
    receiveCall(7, "web-1", 0);
    paths.end(false);
    assertThat(sent, is(empty()));
    assertThat(replies.messages, contains("Failed[number=7, reason=PATH_LOST, isSent=false]"));
    assertThat(server.openCount(), is(0));
  }

  @Test
  void callIsSentOnceItsBodyIsComplete() throws Exception {
    receiveCall(7, "web-1", 3);
    paths.end(true);
    assertThat(sent, is(empty()));
    receive(new ForwardMessage.Body(7, new byte[3]));
    assertThat(sent.get(0).content().readableBytes(), is(3));
  }

  @Test
  void callThatWasCancelledMeanwhileIsNotSent() throws Exception {
    receiveCall(7, "web-1", 0);
    receive(new ForwardMessage.Cancel(7));
    paths.end(true);
    assertThat(sent, is(empty()));
    assertThat(server.openCount(), is(0));
  }

  @Test
  void callToUnknownUpstreamIsRefused() throws Exception {
    receiveCall(7, "web-2", 0);
    assertThat(replies.messages.get(0), startsWith("Failed[number=7, reason=NOT_CONNECTED"));
  }

  @Test
  void callIsRefusedWhileStopping() throws Exception {
    server.refuseNew();
    receiveCall(7, "web-1", 0);
    assertThat(replies.messages.get(0), startsWith("Failed[number=7, reason=PATH_LOST"));
  }

  @Test
  void brokenCallIsReportedAsSuchOnlyIfThePathIsSound() throws Exception {
    CallFailure broken = new CallFailure(CallFailure.Reason.BROKEN, true);
    for (long number : List.of(7L, 8L)) {
      receiveCall(number, "web-1", 0);
      paths.end(true);
      listeners.get(listeners.size() - 1).onFailure(broken);
      assertThat(replies.messages.size(), is((int) number - 7));
      paths.end(number == 7);
    }
    assertThat(
        replies.messages,
        contains(
            "Failed[number=7, reason=BROKEN, isSent=true]",
            "Failed[number=8, reason=FORWARDER_LOST, isSent=true]"));
    assertThat(server.openCount(), is(0));
  }

  @Test
  void callsEndWithTheirConnection() throws Exception {
    receiveCall(7, "web-1", 0);
    paths.end(true);
    receiveCall(8, "web-1", 0);
    replies.closeListener.run();
    paths.end(true);
    assertThat(cancelled, contains("/7"));
    assertThat(sent.size(), is(1));
    assertThat(server.openCount(), is(0));
  }

  @Test
  void callWhoseBodyFindsNoMemoryIsRefusedUnsent() throws Exception {
    server.setMemoryCheck(bytes -> bytes <= 10);
    receiveCall(7, "web-1", 11);
    receiveCall(8, "web-1", 10);
    assertThat(replies.messages, contains("Failed[number=7, reason=PATH_LOST, isSent=false]"));
    assertThat(server.openCount(), is(1));
  }

  @Test
  void bytesAreHeldWhileTheirCallIsOpen() throws Exception {
    receiveCall(7, "web-1", 3);
    receiveCall(8, "web-1", 4);
    assertThat(server.requestBytes(), is(7L));
    receive(new ForwardMessage.Cancel(7));
    assertThat(server.requestBytes(), is(4L));
    replies.pendingBytes = 5;
    assertThat(server.answerBytes(), is(5L));
    replies.closeListener.run();
    assertThat(server.requestBytes() + server.answerBytes(), is(0L));
  }
}
