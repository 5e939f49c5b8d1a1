package org.shoreroad.it;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes TCP connections on to a port of 127.0.0.1, until it is cut; then nothing passes. */
final class CutProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;

  private final ServerSocket server;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile int targetPort;
  private volatile boolean isCut;

  private CutProxy(ServerSocket server, int targetPort) {
    this.server = server;
    this.targetPort = targetPort;
  }

  static CutProxy start(int targetPort) {
    try {
      ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      CutProxy proxy = new CutProxy(server, targetPort);
      daemon(proxy::accept);
      return proxy;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  int port() {
    return server.getLocalPort();
  }

  void setTargetPort(int port) {
    targetPort = port;
  }

  /** Cuts every connection, open or new; or lets them pass again. */
  void setCut(boolean cut) {
    isCut = cut;
    if (cut) {
      sockets.forEach(CutProxy::closeQuietly);
      sockets.clear();
    }
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket in = server.accept();
        if (isCut) {
          closeQuietly(in);
          continue;
        }
        Socket out = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        sockets.add(in);
        sockets.add(out);
        daemon(() -> copy(in, out));
        daemon(() -> copy(out, in));
      } catch (IOException e) {
        // The target is not there, or the proxy is closing.
        continue;
      }
    }
  }

  private static void copy(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        out.write(buffer, 0, n);
        out.flush();
      }
    } catch (IOException e) {
      // One side is gone; so is the other, below.
    }
    closeQuietly(from);
    closeQuietly(to);
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed as far as it can be.
    }
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      throw new AssertionError(e);
    }
    setCut(true);
  }
}
