package org.shoreroad.edge.relay;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Network path from one process to one upstream, which can be cut. Thread-safe. */
final class PathProxy implements AutoCloseable {
  private static final int BACKLOG = 16;
  private static final int FILL_TIMEOUT_MS = 50;
  private static final int MAX_FILLERS = 50;
  private static final int POLL_MS = 5;

  private final String target;
  private final int port;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final List<Socket> fillers = new ArrayList<>();
  private final AtomicInteger sends = new AtomicInteger();
  private volatile ServerSocket listening;
  private volatile boolean isSilent;

  /** How a path is cut. */
  enum Cut {
    /** Nothing arrives on open connections, and new ones are not answered. */
    HANG,
    /** Open connections are reset and new ones are refused. */
    RESET,
    /** Open connections continue and new ones are refused. */
    REFUSE_NEW
  }

  PathProxy(String target) throws IOException {
    this.target = target;
    listening = TestPorts.listen(BACKLOG);
    port = listening.getLocalPort();
    startAccepting(listening);
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Returns the number of pieces that were sent to the upstream, usually one for each request. */
  int sends() {
    return sends.get();
  }

  synchronized void cut(Cut cut) throws IOException {
    switch (cut) {
      case HANG -> {
        isSilent = true;
        fillBacklog();
      }
      case RESET -> {
        listening.close();
        sockets.forEach(PathProxy::reset);
      }
      default -> listening.close();
    }
  }

  synchronized void heal() throws IOException {
    isSilent = false;
    for (Socket filler : fillers) {
      filler.close();
    }
    fillers.clear();
    if (listening.isClosed()) {
      listening = new ServerSocket(port, BACKLOG, InetAddress.getLoopbackAddress());
      startAccepting(listening);
    }
  }

  /** Fills the queue of connections that are not accepted, so that the kernel drops new ones. */
  private void fillBacklog() {
    for (int i = 0; i < MAX_FILLERS; i++) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), FILL_TIMEOUT_MS);
      } catch (IOException e) {
        return;
      }
    }
    throw new IllegalStateException("the queue of connections is never full");
  }

  private void startAccepting(ServerSocket server) {
    start(() -> accept(server));
  }

  private void accept(ServerSocket server) {
    while (!server.isClosed()) {
      try {
        Socket in = server.accept();
        awaitSound();
        Socket out = new Socket();
        int colon = target.indexOf(':');
        out.connect(
            new InetSocketAddress(
                target.substring(0, colon), Integer.parseInt(target.substring(colon + 1))));
        in.setTcpNoDelay(true);
        out.setTcpNoDelay(true);
        sockets.add(in);
        sockets.add(out);
        start(() -> copy(in, out, sends));
        start(() -> copy(out, in, new AtomicInteger()));
      } catch (IOException e) {
        // The path is cut or closed, or the upstream has ended.
      }
    }
  }

  private void copy(Socket from, Socket to, AtomicInteger pieces) {
    byte[] buffer = new byte[16_384];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        awaitSound();
        pieces.incrementAndGet();
        to.getOutputStream().write(buffer, 0, count);
      }
      awaitSound();
    } catch (IOException e) {
      reset(to);
    }
    sockets.remove(from);
    sockets.remove(to);
  }

  private void awaitSound() {
    while (isSilent) {
      try {
        Thread.sleep(POLL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "path-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private static void reset(Socket socket) {
    try (socket) {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // Already closed.
    }
  }

  @Override
  public synchronized void close() throws IOException {
    isSilent = false;
    listening.close();
    for (Socket filler : fillers) {
      filler.close();
    }
    sockets.forEach(PathProxy::reset);
  }
}
