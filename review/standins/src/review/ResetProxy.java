package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes channels to a runner on, with small buffers, and resets the open ones on demand. */
final class ResetProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 32_768;
  private static final int LONG_BYTES = 50_000;

  private final ServerSocket listening;
  private final int target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final Map<Socket, Socket> busy = new ConcurrentHashMap<>();

  ResetProxy(int target) throws IOException {
    this.target = target;
    listening = new ServerSocket();
    listening.setReceiveBufferSize(BUFFER_BYTES);
    listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
    Threads.daemon("proxy", this::accept);
  }

  int port() {
    return listening.getLocalPort();
  }

  private void accept() throws IOException {
    while (true) {
      Socket from = listening.accept();
      Socket to = new Socket();
      to.setSendBufferSize(BUFFER_BYTES);
      to.connect(new InetSocketAddress("127.0.0.1", target));
      from.setTcpNoDelay(true);
      to.setTcpNoDelay(true);
      open.add(from);
      open.add(to);
      Threads.daemon("proxy up", () -> pass(from, to));
      Threads.daemon("proxy down", () -> pass(to, from));
    }
  }

  /** Passes bytes on until their sender ends its side; then ends the other channel in order. */
  private void pass(Socket from, Socket to) throws IOException {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] part = new byte[16_384];
      long passed = 0;
      for (int read = in.read(part); read >= 0; read = in.read(part)) {
        passed += read;
        if (passed > LONG_BYTES) {
          busy.put(from, to);
        }
        out.write(part, 0, read);
      }
      to.shutdownOutput();
    } catch (IOException e) {
      // One side was reset, so the other side is as well.
      reset(from);
      reset(to);
    }
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** Resets the channels on which a long request is being sent; returns how many there were. */
  int resetBusy() throws IOException {
    int count = 0;
    for (Socket from : busy.keySet()) {
      if (!from.isClosed()) {
        reset(from);
        reset(busy.get(from));
        count++;
      }
    }
    busy.clear();
    return count;
  }

  @Override
  public void close() throws IOException {
    listening.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
