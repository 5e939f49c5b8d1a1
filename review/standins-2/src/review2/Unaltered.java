package review2;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Clients send requests; each that a server runs must be the one that its client sent. */
final class Unaltered {
  /** What a client sent: the method, the target and the body, one char a byte. */
  private record Sent(String method, String target, String body) {}

  private static final int CLIENTS = 5;
  private static final String HANDSHAKE_FIELDS =
      "Sec-WebSocket-Key1: 18x 6]8vM;54 *(5:  {   U1]8  z [  8\r\n"
          + "Sec-WebSocket-Key2: 1_ tx7X d  <  nw  334J702) 7]o}` 0\r\n";

  private final Site site;
  private final Edge edge;
  private final Record record;
  private final Map<String, Sent> sent = new HashMap<>();

  private Unaltered(Site site, Edge edge, Record record) {
    this.site = site;
    this.edge = edge;
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    int exit;
    try (Record record = new Record(Path.of(args[1]));
        Site site = new Site(Path.of(args[0]), record)) {
      site.startServers(2, 5, 5);
      site.putConfig(7);
      Edge edge = site.startEdge("front-1", 0);
      record.write("the process is ready; trouble: " + isTrouble);
      Unaltered clients = new Unaltered(site, edge, record);
      for (int i = 0; i < CLIENTS; i++) {
        if (args[2].equals("fields")) {
          clients.sendWithFields(isTrouble ? HANDSHAKE_FIELDS : "");
        } else {
          clients.sendTarget(isTrouble ? "/a/ville/orléans?naam=café" : "/a/ville/orleans?naam=cafe");
        }
      }
      exit = clients.check() ? 0 : 1;
    } catch (Exception e) {
      e.printStackTrace();
      exit = 2;
    }
    System.exit(exit);
  }

  private String send(Socket socket, String method, String target, String more) throws Exception {
    String id = site.nextId();
    sent.put(id, new Sent(method, target, ""));
    record.write("client sends " + id + ": " + method + " " + Site.escape(target)
        + (more.isEmpty() ? "" : " with " + Site.escape(more)));
    socket
        .getOutputStream()
        .write(Site.head(method, target, id, more).getBytes(StandardCharsets.ISO_8859_1));
    return id;
  }

  /** Reads an answer within the time, and records it. */
  private void await(Socket socket, InputStream in, String id, int timeoutMs) throws Exception {
    socket.setSoTimeout(timeoutMs);
    try {
      Http.Message answer = Http.read(in, false);
      record.write("client " + id + ": "
          + (answer == null
              ? "the channel ends"
              : answer.firstLine() + " for " + answer.field("Shoreroad-Attempt-Id")));
    } catch (SocketTimeoutException e) {
      record.write("client " + id + ": no answer within " + timeoutMs + " ms");
    }
  }

  /** Sends a request with fields of its own, and another one on the same channel. */
  private void sendWithFields(String fields) throws Exception {
    try (Socket socket = Http.connect(edge.callers(), 1_000)) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      await(socket, in, send(socket, "GET", "/a/1", fields), 1_000);
      await(socket, in, send(socket, "GET", "/a/2", ""), 1_000);
    }
  }

  /** Sends a request whose target is in UTF-8. */
  private void sendTarget(String target) throws Exception {
    String bytes =
        new String(target.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    try (Socket socket = Http.connect(edge.callers(), 1_000)) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      await(socket, in, send(socket, "GET", bytes, ""), 3_000);
    }
  }

  /** Returns true if each request that ran is the one that was sent under its id. */
  private boolean check() throws Exception {
    Thread.sleep(1_000);
    int changed = 0;
    for (Site.Arrival arrival : site.arrivals) {
      Http.Message request = arrival.request();
      String id = request.field("Shoreroad-Attempt-Id");
      Sent expected = sent.get(id);
      Sent actual =
          new Sent(
              request.method(),
              request.target(),
              new String(request.body(), StandardCharsets.ISO_8859_1));
      if (!actual.equals(expected)) {
        changed++;
        record.write("changed: " + id + " ran as " + Site.escape(String.valueOf(actual))
            + ", sent as " + Site.escape(String.valueOf(expected)));
      }
    }
    record.write(site.arrivals.size() + " requests of " + sent.size() + " ran, " + changed
        + " of them changed");
    record.write(changed > 0 ? "UNASKED is broken" : "UNASKED is kept");
    return changed == 0;
  }
}
