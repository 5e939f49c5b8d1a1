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
 * Case: more users come at once, each of whom fetches an answer of a few megabytes on a kept channel
 * and reads at once what arrives. No machine may close their channels without an answer.
 */
public final class LargeAnswers {
  private static final int MACHINES = 3;
  private static final int RUNNERS = 6;
  private static final int SLOTS = 18;
  private static final int USUAL_CLIENTS = 12;
  private static final int BURST_CLIENTS = 20;
  private static final int ANSWER_BYTES = 2_000_000;
  private static final long CALM_MS = 5_000;
  private static final long BURST_MS = 3_000;
  private static final int BURSTS = 3;

  /** The rule allows so many at each machine. */
  private static final int ALLOWED = 3;

  private static PrintWriter record;
  private static final AtomicInteger NUMBER = new AtomicInteger();
  private static final Map<String, String> OUTCOMES = new ConcurrentHashMap<>();
  private static final Map<String, String> MACHINE_OF = new ConcurrentHashMap<>();

  private LargeAnswers() {}

  private static synchronized void note(String line) {
    record.println(line);
    record.flush();
  }

  public static void main(String[] arguments) throws Exception {
    boolean isTrouble = !arguments[2].equals("0");
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
    List<ExportRunner> runners = new ArrayList<>();
    try (Store store = new Store()) {
      store.put("keyed.op", "config", manifest());
      for (int i = 1; i <= RUNNERS; i++) {
        runners.add(new ExportRunner("i-" + i, "exports", SLOTS, store));
      }
      for (int i = 1; i <= MACHINES; i++) {
        edges.add(new Edge(root, folder, "front-" + i, "hall-a", store.address()));
      }
      for (Edge edge : edges) {
        edge.start();
      }
      for (Edge edge : edges) {
        edge.awaitReady();
      }
      Thread.sleep(1_500);
      long startMs = now();
      long endMs = startMs + BURSTS * (CALM_MS + BURST_MS) + CALM_MS;
      List<Thread> clients = new ArrayList<>();
      for (Edge edge : edges) {
        String machine = "front-" + (edges.indexOf(edge) + 1);
        for (int i = 0; i < USUAL_CLIENTS; i++) {
          clients.add(
              Threads.daemon("client", () -> use(machine, edge.callerPort(), startMs, endMs)));
        }
        for (int burst = 0; isTrouble && burst < BURSTS; burst++) {
          long fromMs = startMs + CALM_MS + burst * (BURST_MS + CALM_MS);
          for (int i = USUAL_CLIENTS; i < BURST_CLIENTS; i++) {
            clients.add(
                Threads.daemon(
                    "client",
                    () -> use(machine, edge.callerPort(), fromMs, fromMs + BURST_MS)));
          }
        }
      }
      for (int burst = 0; burst < BURSTS; burst++) {
        Thread.sleep(CALM_MS);
        note(isTrouble ? "more users come" : "as many users as before");
        Thread.sleep(BURST_MS);
        note("as usual again");
      }
      for (Thread client : clients) {
        client.join(20_000);
      }
      for (Edge edge : edges) {
        note("process runs: " + edge.isAlive());
      }
    } finally {
      for (Edge edge : edges) {
        for (String line : Files.readAllLines(edge.log())) {
          if (line.contains("\"caller_ended\"") || line.contains("held")) {
            note("log: " + line);
          }
        }
        edge.close();
      }
      for (ExportRunner runner : runners) {
        runner.close();
      }
    }
    return judge(runners);
  }

  /** Counts the requests that reached a runner and whose kept channel was closed unanswered. */
  private static int judge(List<ExportRunner> runners) {
    Map<String, Integer> closed = new TreeMap<>();
    Map<String, Integer> counts = new TreeMap<>();
    OUTCOMES.forEach(
        (attempt, outcome) -> {
          boolean isRun = runners.stream().anyMatch(runner -> runner.begun().contains(attempt));
          counts.merge(outcome.replaceAll(" after.*", "") + (isRun ? ", run" : ", not run"), 1,
              Integer::sum);
          if (isRun && outcome.startsWith("closed without an answer")) {
            closed.merge(MACHINE_OF.get(attempt), 1, Integer::sum);
          }
        });
    note("outcomes: " + counts);
    note("answers that the runners wrote to their ends: "
        + runners.stream().mapToInt(ExportRunner::endedCount).sum());
    note("kept channels closed without an answer to a request that ran, by machine: " + closed);
    boolean isBroken = closed.values().stream().anyMatch(count -> count > ALLOWED);
    boolean isServed = counts.getOrDefault("200 whole, run", 0) > 0;
    return isBroken ? 1 : isServed ? 0 : 2;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** One user: a short request on a new channel, then large ones on the same channel. */
  private static void use(String machine, int port, long fromMs, long toMs) throws Exception {
    Thread.sleep(Math.max(0, fromMs - now()));
    while (now() < toMs) {
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.setSoTimeout(15_000);
        InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
        boolean isKept = request(machine, socket, in, 100);
        while (isKept && now() < toMs) {
          isKept = request(machine, socket, in, ANSWER_BYTES);
          Thread.sleep(50);
        }
      }
      Thread.sleep(200);
    }
  }

  /** Sends one request and notes its outcome; returns true if the channel can be used again. */
  private static boolean request(String machine, Socket socket, InputStream in, int bytes)
      throws IOException {
    String attempt = "a-" + NUMBER.incrementAndGet();
    MACHINE_OF.put(attempt, machine);
    long sentMs = now();
    String outcome;
    boolean isKept = false;
    try {
      OutputStream out = socket.getOutputStream();
      out.write(
          Wire.bytes(
              "POST /exports/" + bytes + " HTTP/1.1\r\nHost: exports.example\r\nContent-Length: 0\r\n"
                  + "Shoreroad-Attempt-Id: " + attempt
                  + "\r\nShoreroad-Deadline-Ms: 10000\r\n\r\n"));
      Wire.Head head = Wire.readHead(in);
      if (head == null) {
        outcome = "closed without an answer";
      } else {
        byte[] body = Wire.readBody(in, head);
        isKept = !head.header("connection").equalsIgnoreCase("close");
        outcome = head.status() + (head.status() == 200 && body.length == bytes ? " whole" : "");
      }
    } catch (java.net.SocketTimeoutException e) {
      outcome = "no answer in time";
    } catch (IOException e) {
      outcome = "closed without an answer";
    }
    if (!outcome.equals("200 whole")) {
      note(machine + " " + attempt + ": " + outcome + " after " + (now() - sentMs) + " ms");
    }
    OUTCOMES.put(attempt, outcome);
    return isKept;
  }

  private static String manifest() {
    return "{\"version\":1,\"routes\":[{\"name\":\"exports\",\"host\":\"exports.example\","
        + "\"path_prefix\":\"/exports/\",\"kind\":\"unsafe\",\"timeout_ms\":8000,"
        + "\"target_latency_ms\":2000,\"priority\":1,\"service\":\"exports\","
        + "\"max_attempts\":1,\"allow_anonymous\":true}],"
        + "\"services\":[{\"name\":\"exports\",\"max_connections\":110}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}";
  }
}
