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
 * Case: a member of an open group is emptied and taken away while runners give some answers twice.
 * No runner may take a join of another group while the head of its group is closing.
 */
public final class ForeignReport {
  private static final int MACHINES = 3;
  private static final List<String> DOMAINS = List.of("d1", "d2");
  private static final int RUNNERS_PER_DOMAIN = 8;
  private static final int SIZE = 3;
  private static final String MODEL = "m0";
  private static final int CLIENTS_PER_MACHINE = 24;
  private static final int GARBLING = 8;
  private static final long GARBLE_MS = 5_000;
  private static final long DRAIN_AFTER_MS = 3_000;
  private static final int STEPS = 6;

  private static PrintWriter record;
  private static final AtomicInteger NUMBER = new AtomicInteger();
  private static final TreeMap<String, Integer> OUTCOMES = new TreeMap<>();
  private static volatile boolean isOver;

  private ForeignReport() {}

  private static synchronized void note(String line) {
    record.println(Threads.nowMs() % 1_000_000 + " " + line);
    record.flush();
  }

  private static synchronized void count(String outcome) {
    OUTCOMES.merge(outcome, 1, Integer::sum);
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
    Fabric fabric = new Fabric(ForeignReport::note);
    List<Edge> edges = new ArrayList<>();
    List<GroupRunner> runners = new ArrayList<>();
    try (Store store = new Store()) {
      store.put("keyed.op", "config", manifest());
      int number = 0;
      for (String domain : DOMAINS) {
        for (int i = 0; i < RUNNERS_PER_DOMAIN; i++) {
          runners.add(new GroupRunner(fabric, "i-" + ++number, "llm", domain, store));
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
      awaitOpenHeads(fabric, runners, 4);
      for (Edge edge : edges) {
        for (int i = 0; i < CLIENTS_PER_MACHINE; i++) {
          Threads.daemon("client", () -> use(edge.callerPort()));
        }
      }
      Thread.sleep(6_000);
      for (int step = 1; step <= STEPS; step++) {
        String domain = DOMAINS.get((step - 1) % DOMAINS.size());
        GroupRunner leaving = findMember(fabric, runners, domain);
        List<GroupRunner> garbling = garbling(fabric, runners, leaving);
        note("these give some answers twice: " + (isTrouble ? ids(garbling) : "none"));
        garbling.forEach(runner -> runner.setGarbling(isTrouble));
        Thread.sleep(DRAIN_AFTER_MS);
        note("step " + step + ": " + leaving.id() + " is emptied and taken away");
        leaving.drain();
        Thread.sleep(GARBLE_MS - DRAIN_AFTER_MS);
        garbling.forEach(runner -> runner.setGarbling(false));
        note("all answers are given once again");
        Thread.sleep(5_000);
        leaving.close();
        runners.remove(leaving);
        String id = "i-" + ++number;
        note(id + " is added, empty");
        runners.add(new GroupRunner(fabric, id, "llm", domain, store));
      }
      Thread.sleep(2_000);
      isOver = true;
      Thread.sleep(500);
    } finally {
      isOver = true;
      for (Edge edge : edges) {
        edge.close();
      }
    }
    note("outcomes at the clients: " + OUTCOMES);
    note("broken: " + fabric.violations());
    if (!fabric.violations().isEmpty()) {
      return 1;
    }
    return OUTCOMES.getOrDefault("200 whole", 0) > 0 ? 0 : 2;
  }

  private static List<String> ids(List<GroupRunner> runners) {
    return runners.stream().map(GroupRunner::id).toList();
  }

  /** Returns half of the runners, with the head of the group that will lose a member. */
  private static List<GroupRunner> garbling(
      Fabric fabric, List<GroupRunner> runners, GroupRunner leaving) {
    List<GroupRunner> chosen = new ArrayList<>();
    synchronized (fabric) {
      for (GroupRunner runner : runners) {
        if (runner.id().equals(leaving.membership().members.get(0))) {
          chosen.add(0, runner);
        } else {
          chosen.add(runner);
        }
      }
    }
    return List.copyOf(chosen.subList(0, GARBLING));
  }

  /** Returns a member, not the head, of an open group whose head is at work. */
  private static GroupRunner findMember(
      Fabric fabric, List<GroupRunner> runners, String domain) {
    synchronized (fabric) {
      for (GroupRunner head : runners) {
        Fabric.Membership own = head.membership();
        if (own != null
            && own.rank == 0
            && own.state == Fabric.State.OPEN
            && head.domain().equals(domain)
            && head.active() > 2) {
          String last = own.members.get(own.members.size() - 1);
          for (GroupRunner runner : runners) {
            if (runner.id().equals(last)) {
              return runner;
            }
          }
        }
      }
    }
    throw new IllegalStateException("no open group is at work");
  }

  private static void awaitOpenHeads(Fabric fabric, List<GroupRunner> runners, int wanted)
      throws Exception {
    for (int i = 0; i < 300; i++) {
      long open;
      synchronized (fabric) {
        open =
            runners.stream()
                .map(GroupRunner::membership)
                .filter(own -> own != null && own.rank == 0 && own.state == Fabric.State.OPEN)
                .count();
      }
      if (open >= wanted) {
        note("open groups: " + open);
        return;
      }
      Thread.sleep(100);
    }
    throw new IOException("the groups were not formed");
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
        + "\"target_latency_ms\":1500,\"priority\":1,\"service\":\"llm\","
        + "\"max_attempts\":2,\"allow_anonymous\":true,\"sticky_sessions\":true}],"
        + "\"services\":[{\"name\":\"llm\",\"max_connections\":474,\"engine\":{\"slots\":"
        + GroupRunner.SLOTS + ",\"kv_capacity_tokens\":969230,\"step_ms\":6.07,"
        + "\"per_seq_ms\":0.1,\"context_per_k\":0.1,\"read_per_s\":46000,\"chunk\":512,"
        + "\"stride\":5,\"loads_per_s\":4,\"loads_at_once\":6,\"report_lag_ms\":"
        + GroupRunner.REPORT_LAG_MS + ",\"models\":[{\"name\":\"" + MODEL + "\",\"size\":" + SIZE
        + ",\"share\":1.0,\"pace\":1.0,\"load_s\":" + GroupRunner.LOAD_S + ",\"warm_s\":"
        + GroupRunner.WARM_S + "}]}}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}}";
  }
}
