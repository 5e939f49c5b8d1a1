package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case: a channel to a runner is reset in the middle of an answer without a length, while the runner
 * has not read the whole request. The client must not receive that answer as a complete success.
 *
 * <p>With the argument {@code crash} in place of {@code 1} the runner's process is killed instead.
 */
public final class TruncatedAnswer {
  private static final String SERVICE = "documents";
  private static final int BODY_BYTES = 4_000_000;
  private static final int REQUESTS = 8;
  private static final int RUNNERS = 6;

  private static PrintWriter record;

  private TruncatedAnswer() {}

  private static synchronized void note(String line) {
    record.println(line);
    record.flush();
  }

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    boolean isTrouble = !arguments[2].equals("0");
    boolean isCrash = arguments[2].equals("crash");
    record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[3])));
    int status;
    try {
      status = run(root, folder, isTrouble, isCrash);
    } catch (Exception e) {
      note("could not run: " + e);
      status = 2;
    }
    note("exit " + status);
    System.exit(status);
  }

  private static int run(Path root, Path folder, boolean isTrouble, boolean isCrash)
      throws Exception {
    Map<String, RunnerProcess> runners = new ConcurrentHashMap<>();
    Set<String> disturbed = ConcurrentHashMap.newKeySet();
    int broken = 0;
    int whole = 0;
    try (Store store = new Store();
        Edge edge = new Edge(root, folder, "front-1", "hall-a", store.address());
        Edge second = new Edge(root, folder, "front-2", "hall-a", store.address());
        Edge third = new Edge(root, folder, "front-3", "hall-a", store.address())) {
      store.put("keyed.op", "config", manifest());
      try {
        for (int i = 1; i <= RUNNERS; i++) {
          addRunner(store, runners, "i-" + i, disturbed, isTrouble, isCrash);
        }
        for (Edge one : List.of(edge, second, third)) {
          one.start();
        }
        for (Edge one : List.of(edge, second, third)) {
          one.awaitReady();
        }
        awaitServed(edge);
        for (int i = 1; i <= REQUESTS; i++) {
          String attempt = "long-" + i;
          String outcome = send(edge.callerPort(), attempt, BODY_BYTES);
          note("client got for " + attempt + ": " + outcome);
          if (outcome.startsWith("TRUNCATED")) {
            broken++;
          } else if (outcome.startsWith("whole")) {
            whole++;
          }
          for (String id : List.copyOf(runners.keySet())) {
            if (runners.get(id).isKilled()) {
              runners.remove(id).close();
              store.put("keyed.servers", id, null);
              addRunner(store, runners, id + "-next", disturbed, isTrouble, isCrash);
              Thread.sleep(1_000);
            }
          }
        }
      } finally {
        for (RunnerProcess runner : runners.values()) {
          runner.close();
        }
      }
    }
    note("answers that looked complete and were not: " + broken + ", whole: " + whole);
    if (broken > 0) {
      return 1;
    }
    return isTrouble || whole == REQUESTS ? 0 : 2;
  }

  /** Starts a runner; the first run of each long request is disturbed. */
  private static void addRunner(
      Store store,
      Map<String, RunnerProcess> runners,
      String id,
      Set<String> disturbed,
      boolean isTrouble,
      boolean isCrash)
      throws IOException {
    RunnerProcess runner =
        new RunnerProcess(
            "EarlyRunner",
            id,
            SERVICE,
            store,
            line -> {
              note(id + " " + line);
              if (isTrouble && line.startsWith("began ") && disturbed.add(line)) {
                disturbSoon(runners.get(id), isCrash);
              }
            });
    runners.put(id, runner);
  }

  private static void disturbSoon(RunnerProcess runner, boolean isCrash) {
    Threads.daemon(
        "disruption",
        () -> {
          Thread.sleep(150);
          if (isCrash) {
            note(runner.id() + " crashes (SIGKILL)");
            runner.kill();
          } else {
            note("open channels to " + runner.id() + " that are reset: " + runner.proxy().resetBusy());
          }
        });
  }

  /** Sends short requests until one is served. */
  private static void awaitServed(Edge edge) throws Exception {
    for (int i = 1; i <= 100; i++) {
      String outcome = send(edge.callerPort(), "short-" + i, 10);
      if (outcome.startsWith("whole")) {
        note("short request served: " + outcome);
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException("no short request was served");
  }

  /** Sends one request on a channel of its own and describes the answer. */
  private static String send(int port, String attempt, int bodyBytes) throws IOException {
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setSoTimeout(20_000);
      OutputStream out = socket.getOutputStream();
      out.write(
          Wire.bytes(
              "POST /documents/x HTTP/1.1\r\nHost: docs.example\r\nShoreroad-Attempt-Id: "
                  + attempt
                  + "\r\nShoreroad-Deadline-Ms: 15000\r\nContent-Length: "
                  + bodyBytes
                  + "\r\n\r\n"));
      byte[] body = new byte[bodyBytes];
      Arrays.fill(body, (byte) 'x');
      out.write(body);
      out.flush();
      InputStream in = socket.getInputStream();
      Wire.Head head = Wire.readHead(in);
      if (head == null) {
        return "closed without an answer";
      }
      byte[] answer;
      try {
        answer = Wire.readBody(in, head);
      } catch (IOException e) {
        return "incomplete " + head.line() + " (" + e.getMessage() + ")";
      }
      String said =
          head.line() + ", length " + head.header("content-length") + ", seal "
              + head.header("Shoreroad-Response-Seal");
      if (head.status() / 100 != 2) {
        return "failure " + said;
      }
      byte[] expected = Wire.bytes(EarlyRunner.wholeAnswer(attempt));
      return Arrays.equals(answer, expected)
          ? "whole " + said
          : "TRUNCATED " + said + ", " + answer.length + " of " + expected.length + " bytes";
    }
  }

  private static String manifest() {
    return "{\"version\":1,\"routes\":[{\"name\":\"documents\",\"host\":\"docs.example\","
        + "\"path_prefix\":\"/documents/\",\"kind\":\"safe\",\"timeout_ms\":12000,"
        + "\"target_latency_ms\":400,\"priority\":1,\"service\":\"documents\","
        + "\"max_attempts\":2,\"allow_anonymous\":true}],"
        + "\"services\":[{\"name\":\"documents\",\"max_connections\":110}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}";
  }
}
