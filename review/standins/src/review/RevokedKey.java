package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: a machine is cut off from the store and from the other machines while manifests come in quick
 * succession, the last of which takes a key away. Once the machine is back, no request with that key
 * may run there.
 */
public final class RevokedKey {
  private static final int MACHINES = 3;
  private static final int CLIENTS = 8;
  private static final int ROUTES = 460;
  private static final int VERSIONS = 12;
  private static final int GAP_MS = 330;
  private static final long CUT_MS = 10_000;
  private static final long REVOKE_MS = 5_000;
  private static final String LASTING = "n2ctnfzs989anu6wsjnb";
  private static final String TAKEN = "p7wq0dkx4v1hs6yzt3mc";

  private static PrintWriter record;
  private static final AtomicInteger NUMBER = new AtomicInteger();
  private static final Map<String, Long> SENT_MS = new ConcurrentHashMap<>();
  private static final Map<String, String> OUTCOMES = new ConcurrentHashMap<>();
  private static volatile boolean isOver;
  private static long startMs;

  private RevokedKey() {}

  private static synchronized void note(String line) {
    record.println(Threads.nowMs() - startMs + " ms " + line);
    record.flush();
  }

  public static void main(String[] arguments) throws Exception {
    boolean isTrouble = !arguments[2].equals("0");
    startMs = Threads.nowMs();
    record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[3])));
    int status;
    try {
      status = run(Path.of(arguments[0]), Path.of(arguments[1]), isTrouble);
    } catch (Exception e) {
      note("could not run: " + e);
      status = 2;
    }
    note("exit " + status);
    System.exit(status);
  }

  private static int run(Path root, Path folder, boolean isTrouble) throws Exception {
    List<Edge> edges = new ArrayList<>();
    List<CutProxy> ways = new ArrayList<>();
    List<ExportRunner> runners = new ArrayList<>();
    Map<String, String> othersSeen = new ConcurrentHashMap<>();
    Map<String, String> firstSeen = new ConcurrentHashMap<>();
    long removedMs;
    try (Store store = new Store()) {
      int version = 1;
      String manifest = manifest(version, true);
      note("bytes of a manifest: " + manifest.length());
      store.put("keyed.op", "config", manifest);
      for (int i = 1; i <= 6; i++) {
        runners.add(new ExportRunner("i-" + i, "exports", 18, store));
      }
      // The first machine reaches the store and the others through proxies, and they reach it so.
      CutProxy toStore = new CutProxy(store.openView(text -> changed(text, othersSeen)));
      ways.add(toStore);
      String others = "127.0.0.1:" + store.openView(text -> changed(text, firstSeen));
      for (int i = 1; i <= MACHINES; i++) {
        Edge edge =
            new Edge(root, folder, "front-" + i, "hall-a", i == 1 ? toStore.address() : others);
        CutProxy way = new CutProxy(edge.peerPort());
        ways.add(way);
        (i == 1 ? firstSeen : othersSeen).put("127.0.0.1:" + edge.peerPort(), way.address());
        edges.add(edge);
      }
      for (Edge edge : edges) {
        edge.start();
      }
      for (Edge edge : edges) {
        edge.awaitReady();
      }
      Thread.sleep(3_000);
      int port = edges.get(0).callerPort();
      for (int i = 0; i < CLIENTS; i++) {
        Threads.daemon("client", () -> use(port));
      }
      Thread.sleep(3_000);
      note("the first machine is cut off: " + isTrouble);
      ways.forEach(way -> way.setCut(isTrouble));
      long cutMs = Threads.nowMs();
      Thread.sleep(300);
      for (int i = 1; i <= VERSIONS; i++) {
        version++;
        store.put("keyed.op", "config", manifest(version, i < VERSIONS));
        Thread.sleep(GAP_MS);
      }
      removedMs = Threads.nowMs() - GAP_MS;
      note("version " + version + " without the key was acknowledged " + GAP_MS + " ms ago");
      Thread.sleep(Math.max(0, cutMs + CUT_MS - Threads.nowMs()));
      note("the cut ends");
      ways.forEach(way -> way.setCut(false));
      Thread.sleep(6_000);
      isOver = true;
      Thread.sleep(1_000);
    } finally {
      isOver = true;
      for (Edge edge : edges) {
        edge.close();
      }
      for (CutProxy way : ways) {
        way.close();
      }
      for (ExportRunner runner : runners) {
        runner.close();
      }
    }
    for (String line : Files.readAllLines(edges.get(0).log())) {
      if (line.contains("configuration_taken") || line.contains("\"store_")) {
        note("log: " + line);
      }
    }
    return judge(runners, removedMs);
  }

  private static int judge(List<ExportRunner> runners, long removedMs) {
    int late = 0;
    Map<String, Integer> counts = new TreeMap<>();
    for (String attempt : SENT_MS.keySet()) {
      long afterMs = SENT_MS.get(attempt) - removedMs;
      boolean isRun = runners.stream().anyMatch(runner -> runner.begun().contains(attempt));
      String when = afterMs <= 0 ? "before" : afterMs <= REVOKE_MS ? "within" : "after";
      counts.merge(
          when + ": " + OUTCOMES.getOrDefault(attempt, "open") + (isRun ? ", run" : ""),
          1,
          Integer::sum);
      if (isRun && afterMs > REVOKE_MS) {
        late++;
        if (late <= 5) {
          note(
              attempt + " with the taken key was sent " + afterMs
                  + " ms after the acknowledgement and ran: " + OUTCOMES.get(attempt));
        }
      }
    }
    note("requests with the taken key, by when they were sent: " + counts);
    note("sent more than " + REVOKE_MS + " ms after the acknowledgement, and run: " + late);
    boolean wasServed = counts.keySet().stream().anyMatch(key -> key.startsWith("before: 200"));
    return late > 0 ? 1 : wasServed ? 0 : 2;
  }

  private static String changed(String text, Map<String, String> addresses) {
    String changed = text;
    for (Map.Entry<String, String> address : addresses.entrySet()) {
      changed = changed.replace(address.getKey() + " ", address.getValue() + " ");
    }
    return changed;
  }

  private static void use(int port) throws Exception {
    while (!isOver) {
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.setSoTimeout(10_000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        boolean isKept = true;
        while (isKept && !isOver) {
          String attempt = "a-" + NUMBER.incrementAndGet();
          SENT_MS.put(attempt, Threads.nowMs());
          out.write(
              Wire.bytes(
                  "GET /exports/100 HTTP/1.1\r\nHost: exports.example\r\nShoreroad-Attempt-Id: "
                      + attempt + "\r\nShoreroad-Deadline-Ms: 2000\r\nAuthorization: Bearer "
                      + TAKEN + "\r\n\r\n"));
          Wire.Head head = Wire.readHead(in);
          if (head == null) {
            break;
          }
          Wire.readBody(in, head);
          OUTCOMES.put(attempt, Integer.toString(head.status()));
          isKept = !head.header("connection").equalsIgnoreCase("close");
          Thread.sleep(30);
        }
      } catch (IOException e) {
        Thread.sleep(50);
      }
    }
  }

  private static String manifest(int version, boolean hasKey) {
    StringBuilder routes = new StringBuilder();
    for (int i = 0; i < ROUTES; i++) {
      routes.append(routes.length() == 0 ? "" : ",");
      routes.append(
          route("exports-" + i, i == 0 ? "/exports/" : "/other-" + i + "/", 2_000 + version));
    }
    return "{\"version\":" + version + ",\"routes\":[" + routes + "],"
        + "\"services\":[{\"name\":\"exports\",\"health_path\":\"/health\","
        + "\"max_connections\":110}],\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" + LASTING
        + "\"" + (hasKey ? ",\"" + TAKEN + "\"" : "") + "]}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}";
  }

  private static String route(String name, String prefix, int timeoutMs) {
    return "{\"name\":\"" + name + "\",\"host\":\"exports.example\",\"path_prefix\":\"" + prefix
        + "\",\"kind\":\"safe\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":400,"
        + "\"priority\":1,\"service\":\"exports\",\"max_attempts\":2,\"allow_anonymous\":false,"
        + "\"sticky_sessions\":false,\"stream_resume\":false}";
  }
}
