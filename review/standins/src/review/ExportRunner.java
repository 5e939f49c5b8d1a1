package review;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A plain runner that writes its answers at a steady pace, with their length stated. A path
 * /exports/N is answered with N bytes. Thread-safe.
 */
final class ExportRunner implements AutoCloseable {
  private static final int PIECE_BYTES = 50_000;
  private static final int PIECE_MS = 25;
  private static final int SHORT_BYTES = 10_000;

  private final String id;
  private final ServerSocket listening;
  private final Set<String> begun = ConcurrentHashMap.newKeySet();
  private final AtomicInteger ended = new AtomicInteger();
  private volatile boolean isEnded;

  ExportRunner(String id, String service, int slots, Store store) throws Exception {
    this.id = id;
    listening = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    Threads.daemon("runner", this::accept);
    Threads.daemon(
        "entry",
        () -> {
          for (int sequence = 1; !isEnded; sequence++) {
            store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:"
                    + listening.getLocalPort() + "\",\"zone\":\"hall-a\",\"version\":\"1\","
                    + "\"slots\":" + slots + ",\"state\":\"ready\",\"cold_remaining_ms\":0,"
                    + "\"sequence\":" + sequence + "}");
            Thread.sleep(1_200);
          }
        });
  }

  /** Returns the ids of the requests that it has begun to run. */
  Set<String> begun() {
    return begun;
  }

  /** Returns how many answers it has written to their ends. */
  int endedCount() {
    return ended.get();
  }

  private void accept() throws Exception {
    while (true) {
      Socket socket = listening.accept();
      Threads.daemon("runner channel", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Wire.Head head = Wire.readHead(in); head != null; head = Wire.readHead(in)) {
        Wire.readBody(in, head);
        String attempt = head.header("Shoreroad-Attempt-Id");
        String expected = head.header("Shoreroad-Expect-Instance");
        String path = head.line().split(" ")[1];
        if (!expected.equals(id)) {
          out.write(
              Wire.bytes(
                  "HTTP/1.1 421 -\r\nShoreroad-Attempt-Id: " + attempt
                      + "\r\nShoreroad-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
          continue;
        }
        int bytes = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
        begun.add(attempt);
        out.write(
            Wire.bytes(
                "HTTP/1.1 200 OK\r\nShoreroad-Attempt-Id: " + attempt
                    + "\r\nShoreroad-Response-Seal: " + id + "." + attempt
                    + "\r\nContent-Length: " + bytes + "\r\n\r\n"));
        byte[] piece = new byte[PIECE_BYTES];
        Arrays.fill(piece, (byte) 'e');
        for (int left = bytes; left > 0; left -= PIECE_BYTES) {
          out.write(piece, 0, Math.min(left, PIECE_BYTES));
          out.flush();
          if (bytes > SHORT_BYTES) {
            Thread.sleep(PIECE_MS);
          }
        }
        ended.incrementAndGet();
      }
    }
  }

  @Override
  public void close() throws Exception {
    isEnded = true;
    listening.close();
  }
}
