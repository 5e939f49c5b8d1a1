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
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two machines before two fabric domains of eight model runners each, whose groups have three
 * runners, with callers that send one request after the other on kept channels.
 */
final class ModelSite {
  static final List<String> DOMAINS = List.of("d1", "d2");

  private static final int MACHINES = 2;
  private static final int RUNNERS_PER_DOMAIN = 8;
  private static final int SIZE = 3;
  private static final int GROUPS = 4;
  private static final String SERVICE = "llm";
  private static final String MODEL = "m0";
  private static final int CLIENTS_PER_MACHINE = 36;

  private final PrintWriter record;
  private final long startMs = Threads.nowMs();
  private final Fabric fabric = new Fabric(this::note);
  private final List<GroupRunner> runners = new ArrayList<>();
  private final TreeMap<String, Integer> outcomes = new TreeMap<>();
  private final AtomicInteger number = new AtomicInteger();
  private Store store;
  private int runnerCount;
  private volatile boolean isOver;

  private ModelSite(PrintWriter record) {
    this.record = record;
  }

  /** What a case does while the callers are at work. */
  interface Case {
    void play(ModelSite site, boolean isTrouble) throws Exception;
  }

  /**
   * Plays a case and ends the program with 1 if a runner took a join against the rule TWO, 0 if none
   * did, 2 if the case could not run.
   *
   * @param arguments the root of the repository, a folder for logs, 0 for no disruption, the record
   */
  static void main(String[] arguments, Case played) throws IOException {
    ModelSite site =
        new ModelSite(new PrintWriter(Files.newBufferedWriter(Path.of(arguments[3]))));
    int status;
    try {
      status =
          site.run(
              Path.of(arguments[0]), Path.of(arguments[1]), played, !arguments[2].equals("0"));
    } catch (Exception e) {
      site.note("could not run: " + e);
      status = 2;
    }
    site.note("exit " + status);
    System.exit(status);
  }

  synchronized void note(String line) {
    record.println(Threads.nowMs() - startMs + " ms " + line);
    record.flush();
  }

  private synchronized void count(String outcome) {
    outcomes.merge(outcome, 1, Integer::sum);
  }

  private int run(Path root, Path folder, Case played, boolean isTrouble) throws Exception {
    List<Edge> edges = new ArrayList<>();
    try (Store opened = new Store()) {
      store = opened;
      store.put("keyed.op", "config", manifest());
      for (String domain : DOMAINS) {
        for (int i = 0; i < RUNNERS_PER_DOMAIN; i++) {
          addRunner(domain);
        }
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
      awaitGroups();
      for (Edge edge : edges) {
        for (int i = 0; i < CLIENTS_PER_MACHINE; i++) {
          Threads.daemon("client", () -> use(edge.callerPort()));
        }
      }
      Thread.sleep(6_000);
      played.play(this, isTrouble);
      Thread.sleep(2_000);
      isOver = true;
      Thread.sleep(500);
    } finally {
      isOver = true;
      for (Edge edge : edges) {
        edge.close();
      }
    }
    note("outcomes at the clients: " + outcomes);
    note("joins against the rule: " + fabric.violations().size());
    if (!fabric.violations().isEmpty()) {
      return 1;
    }
    return outcomes.getOrDefault("200 whole", 0) > 0 ? 0 : 2;
  }

  /** Adds an empty runner. */
  void addRunner(String domain) throws IOException {
    String id = "i-" + ++runnerCount;
    runners.add(new GroupRunner(fabric, id, SERVICE, domain, store));
  }

  /** Ends a runner and its entry. */
  void removeRunner(GroupRunner runner) throws IOException {
    runner.close();
    runners.remove(runner);
  }

  List<GroupRunner> runners() {
    return List.copyOf(runners);
  }

  /** Returns the head of an open group of a domain that is at work. */
  GroupRunner findHead(String domain) {
    synchronized (fabric) {
      for (GroupRunner runner : runners) {
        Fabric.Membership own = runner.membership();
        boolean isOpenHead = own != null && own.rank == 0 && own.state == Fabric.State.OPEN;
        if (isOpenHead && runner.domain().equals(domain) && runner.active() > 2) {
          return runner;
        }
      }
    }
    throw new IllegalStateException("no open group is at work");
  }

  /** Returns the last member of the group of a head. */
  GroupRunner lastMember(GroupRunner head) {
    synchronized (fabric) {
      List<String> members = head.membership().members;
      String last = members.get(members.size() - 1);
      return runners.stream().filter(one -> one.id().equals(last)).findFirst().orElseThrow();
    }
  }

  private void awaitGroups() throws Exception {
    for (int i = 0; i < 300; i++) {
      long open;
      synchronized (fabric) {
        open =
            runners.stream()
                .map(GroupRunner::membership)
                .filter(own -> own != null && own.rank == 0 && own.state == Fabric.State.OPEN)
                .count();
      }
      if (open >= GROUPS) {
        note("open groups: " + open);
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException("the groups were not formed");
  }

  private void use(int port) throws Exception {
    while (!isOver) {
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.setSoTimeout(10_000);
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        boolean isKept = true;
        while (isKept && !isOver) {
          String attempt = "a-" + number.incrementAndGet();
          out.write(
              Wire.bytes(
                  "POST /answers/x HTTP/1.1\r\nHost: llm.example\r\nShoreroad-Attempt-Id: "
                      + attempt + "\r\nShoreroad-Model: " + MODEL
                      + "\r\nShoreroad-Token-Count: 200,40\r\nShoreroad-Prompt-Prefix: aa:40,"
                      + attempt.substring(2) + "b:160\r\nShoreroad-Deadline-Ms: 6000\r\n"
                      + "Content-Length: 2\r\n\r\nhi"));
          Wire.Head head = Wire.readHead(in);
          if (head == null) {
            count("closed");
            break;
          }
          String body = new String(Wire.readBody(in, head));
          boolean isWhole = body.contains("text for " + attempt + "\"");
          count(head.status() + (isWhole ? " whole" : ""));
          isKept = !head.header("connection").equalsIgnoreCase("close");
          Thread.sleep(head.status() == 200 ? 20 : 150);
        }
      } catch (IOException e) {
        count("closed midway");
      }
      Thread.sleep(100);
    }
  }

  private static String manifest() {
    return "{\"version\":1,\"routes\":[{\"name\":\"answers\",\"host\":\"llm.example\","
        + "\"path_prefix\":\"/answers/\",\"kind\":\"safe\",\"timeout_ms\":6000,"
        + "\"target_latency_ms\":1500,\"priority\":1,\"service\":\"" + SERVICE + "\","
        + "\"max_attempts\":2,\"allow_anonymous\":true,\"sticky_sessions\":true}],"
        + "\"services\":[{\"name\":\"" + SERVICE + "\",\"max_connections\":474,\"engine\":{"
        + "\"slots\":" + GroupRunner.SLOTS + ",\"kv_capacity_tokens\":969230,\"step_ms\":6.07,"
        + "\"per_seq_ms\":0.1,\"context_per_k\":0.1,\"read_per_s\":46000,\"chunk\":512,"
        + "\"stride\":5,\"loads_per_s\":4,\"loads_at_once\":6,\"report_lag_ms\":"
        + GroupRunner.REPORT_LAG_MS + ",\"models\":[{\"name\":\"" + MODEL + "\",\"size\":" + SIZE
        + ",\"share\":1.0,\"pace\":1.0,\"load_s\":" + GroupRunner.LOAD_S + ",\"warm_s\":"
        + GroupRunner.WARM_S + "}]}}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}";
  }
}
