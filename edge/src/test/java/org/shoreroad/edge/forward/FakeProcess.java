package org.shoreroad.edge.forward;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongFunction;

/**
 * Another process at the end of a link, which handles messages on forwarded calls in a fixed way.
 */
final class FakeProcess implements AutoCloseable {
  private final ServerSocket listening;
  private final Behavior behavior;
  private final LongFunction<List<ForwardMessage>> answer;
  private final List<Long> calls = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /** How the process handles messages. */
  enum Behavior {
    /** Answers each call. */
    ANSWERS,
    /** Refuses each call since it has no path either. */
    WITHOUT_PATH,
    /** Accepts connections and reads nothing, as a suspended process does. */
    SUSPENDED,
    /** Closes the connection at the first message, as an earlier release does. */
    EARLIER_RELEASE,
    /** Closes the connection at each call, which it may have sent. */
    ENDS_AT_CALL
  }

  FakeProcess(Behavior behavior) throws IOException {
    this(behavior, FakeProcess::emptyAnswer);
  }

  /** Creates a process that answers each call with the messages for its number. */
  FakeProcess(LongFunction<List<ForwardMessage>> answer) throws IOException {
    this(Behavior.ANSWERS, answer);
  }

  private FakeProcess(Behavior behavior, LongFunction<List<ForwardMessage>> answer)
      throws IOException {
    this.behavior = behavior;
    this.answer = answer;
    listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  private static List<ForwardMessage> emptyAnswer(long number) {
    return List.of(
        new ForwardMessage.Head(number, 200, "OK", List.of()), new ForwardMessage.End(number));
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  /** Returns the number of calls that were received. */
  int callCount() {
    return calls.size();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "fake-process");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!listening.isClosed()) {
      try {
        Socket socket = listening.accept();
        sockets.add(socket);
        if (behavior != Behavior.SUSPENDED) {
          start(() -> serve(socket));
        }
      } catch (IOException e) {
        // Closed by the test.
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      while (true) {
        byte[] frame = new byte[in.readInt()];
        in.readFully(frame);
        ForwardMessage message = ForwardCodec.parse(frame).orElseThrow();
        if (message instanceof ForwardMessage.Call) {
          calls.add(message.number());
        }
        if (!handle(message, out)) {
          return;
        }
        out.flush();
      }
    } catch (IOException e) {
      // The other side closed the connection.
    }
  }

  private boolean handle(ForwardMessage message, DataOutputStream out) throws IOException {
    boolean isCall = message instanceof ForwardMessage.Call;
    if (behavior == Behavior.EARLIER_RELEASE || (behavior == Behavior.ENDS_AT_CALL && isCall)) {
      return false;
    }
    long number = message.number();
    if (message instanceof ForwardMessage.Ping) {
      send(out, new ForwardMessage.Pong(number));
    } else if (message instanceof ForwardMessage.Probe) {
      send(out, new ForwardMessage.Probed(number, ProbeOutcome.REFUSED.name()));
    } else if (isCall && behavior == Behavior.WITHOUT_PATH) {
      send(out, new ForwardMessage.Failed(number, "PATH_LOST", false));
    } else if (isCall) {
      for (ForwardMessage part : answer.apply(number)) {
        send(out, part);
      }
    }
    return true;
  }

  private static void send(DataOutputStream out, ForwardMessage message) throws IOException {
    byte[] bytes = ForwardCodec.toBytes(message);
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  @Override
  public void close() throws IOException {
    listening.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
