package org.shoreroad.edge.relay;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Upstream on loopback that answers each request with the raw bytes of a script.
 *
 * <p>Thread-safe; one thread for each connection.
 */
final class FakeUpstream implements AutoCloseable {
  private final ServerSocket listening;
  private final Script script;
  private final boolean isReadingBodies;
  private final List<String> requestHeads = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  FakeUpstream(Script script) throws IOException {
    this(script, true);
  }

  private FakeUpstream(Script script, boolean isReadingBodies) throws IOException {
    this.script = script;
    this.isReadingBodies = isReadingBodies;
    this.listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread acceptor = new Thread(this::accept, "fake-upstream");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  /** Creates an upstream that reads only the heads of requests. */
  static FakeUpstream ofUnreadBodies(Script script) throws IOException {
    return new FakeUpstream(script, false);
  }

  /** Answers requests. */
  interface Script {
    /**
     * Writes the answer to the request with this head; the connection closes if it returns false.
     */
    boolean answer(String head, OutputStream out, Socket socket) throws Exception;
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  List<String> requestHeads() {
    return requestHeads;
  }

  static String header(String head, String name) {
    for (String line : head.split("\n")) {
      if (line.toLowerCase().startsWith(name.toLowerCase() + ":")) {
        return line.substring(name.length() + 1).trim();
      }
    }
    return "";
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listening.accept();
        sockets.add(socket);
        Thread thread = new Thread(() -> serve(socket), "fake-upstream-connection");
        thread.setDaemon(true);
        thread.start();
      }
    } catch (IOException e) {
      // Closed by the test.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      while (true) {
        String head = readHead(in);
        if (head.isEmpty()) {
          return;
        }
        requestHeads.add(head);
        if (!script.answer(head, socket.getOutputStream(), socket)) {
          return;
        }
        socket.getOutputStream().flush();
      }
    } catch (Exception e) {
      // The other side or the script closed the connection.
    }
  }

  private String readHead(BufferedReader in) throws IOException {
    StringBuilder head = new StringBuilder();
    for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
      head.append(line).append('\n');
    }
    int length = 0;
    String text = header(head.toString(), "Content-Length");
    if (!text.isEmpty() && isReadingBodies) {
      length = Integer.parseInt(text);
    }
    for (int i = 0; i < length; i++) {
      in.read();
    }
    return head.toString();
  }

  @Override
  public void close() throws IOException {
    listening.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
