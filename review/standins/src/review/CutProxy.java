package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Passes channels on. While it is cut nothing passes. Afterwards the bytes that were held up pass at
 * the next time at which TCP would send them again: 0.2 s after it first sent them, and then after
 * twice the former pause each time.
 */
final class CutProxy implements AutoCloseable {
  private static final long FIRST_PAUSE_MS = 200;

  private final ServerSocket listening;
  private final int target;
  private volatile boolean isCut;

  CutProxy(int target) throws IOException {
    this.target = target;
    listening = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    Threads.daemon("cut proxy", this::accept);
  }

  String address() {
    return "127.0.0.1:" + listening.getLocalPort();
  }

  void setCut(boolean cut) {
    isCut = cut;
  }

  private void accept() throws IOException {
    while (true) {
      Socket from = listening.accept();
      Threads.daemon("cut proxy channel", () -> connect(from));
    }
  }

  private void connect(Socket from) throws Exception {
    awaitPath();
    Socket to = new Socket("127.0.0.1", target);
    from.setTcpNoDelay(true);
    to.setTcpNoDelay(true);
    Threads.daemon("cut proxy up", () -> pass(from, to));
    Threads.daemon("cut proxy down", () -> pass(to, from));
  }

  private void pass(Socket from, Socket to) throws Exception {
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] part = new byte[65_536];
      for (int read = in.read(part); read >= 0; read = in.read(part)) {
        awaitPath();
        out.write(part, 0, read);
      }
      awaitPath();
    }
  }

  private void awaitPath() throws InterruptedException {
    long pauseMs = FIRST_PAUSE_MS;
    while (isCut) {
      Thread.sleep(pauseMs);
      pauseMs *= 2;
    }
  }

  @Override
  public void close() throws IOException {
    listening.close();
  }
}
