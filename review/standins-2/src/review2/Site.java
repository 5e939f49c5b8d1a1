package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** A small deployment: the store, plain servers of one service, and processes of the system. */
final class Site implements AutoCloseable {
  static final String KEY = "n2ctnfzs989anu6wsjnb";
  static final String HOST = "ficu95.example";
  private static final String STREAM_ROUTE =
      "{\"name\":\"rs\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/s/\",\"kind\":\"stream\","
          + "\"timeout_ms\":8000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"huvo11a\","
          + "\"max_attempts\":2,\"allow_anonymous\":false,\"stream_resume\":true,"
          + "\"target_gap_ms\":300}";
  final Store store = new Store();
  final List<Edge> edges = new ArrayList<>();
  final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
  final Record record;
  private final List<Http.Server> servers = new ArrayList<>();
  private final List<ModelRunner> modelRunners = new CopyOnWriteArrayList<>();
  private final Path folder = Files.createTempDirectory("review2");
  private final Path root;
  private final AtomicInteger ids = new AtomicInteger();
  private int lifetimes;

  /** A request that reached a server. */
  record Arrival(String server, Http.Message request) {}

  Site(Path root, Record record) throws Exception {
    this.root = root;
    this.record = record;
  }

  Path folder() {
    return folder;
  }

  /**
   * Starts plain servers, which answer each request with their id.
   *
   * @param workMs the time for a request whose path begins with /a/
   * @param longWorkMs the time for another request
   */
  void startServers(int count, int workMs, int longWorkMs) throws Exception {
    for (int i = 1; i <= count; i++) {
      String id = "i-0000000" + i;
      Http.Server server = new Http.Server("127.0.0.1", 0, request -> serve(id, request, workMs, longWorkMs));
      servers.add(server);
      list(id, server.address(), 1);
    }
    Http.THREADS.execute(
        () -> {
          for (int sequence = 2; ; sequence++) {
            try {
              Thread.sleep(1_200);
            } catch (InterruptedException e) {
              return;
            }
            for (int i = 1; i <= servers.size(); i++) {
              list("i-0000000" + i, servers.get(i - 1).address(), sequence);
            }
          }
        });
  }

  /** Starts model runners in one domain, which write their entries as the plain servers do. */
  void startModelRunners(int count, String domain) throws Exception {
    for (int i = 1; i <= count; i++) {
      ModelRunner runner = new ModelRunner(String.format("i-7f%06d", i), domain);
      modelRunners.add(runner);
      store.put("keyed.servers", runner.id(), runner.entry(1));
    }
    Http.THREADS.execute(
        () -> {
          for (int beat = 2; ; beat++) {
            try {
              Thread.sleep(1_200);
            } catch (InterruptedException e) {
              return;
            }
            for (ModelRunner runner : modelRunners) {
              store.put("keyed.servers", runner.id(), runner.entry(beat));
            }
          }
        });
  }

  /**
   * Lets all model runners crash, and start again on their hosts. Entries of the former lifetimes go
   * after three beats.
   */
  void crashModelRunners(int downMs) throws Exception {
    List<ModelRunner> crashed = List.copyOf(modelRunners);
    modelRunners.clear();
    for (ModelRunner runner : crashed) {
      runner.close();
    }
    Thread.sleep(Math.min(downMs, 3_600));
    for (ModelRunner runner : crashed) {
      store.put("keyed.servers", runner.id(), null);
    }
    Thread.sleep(Math.max(0, downMs - 3_600));
    for (ModelRunner runner : crashed) {
      ModelRunner next = runner.restart(String.format("i-8a%06d", ++lifetimes));
      store.put("keyed.servers", next.id(), next.entry(1));
      modelRunners.add(next);
    }
  }

  private void list(String id, String address, int sequence) {
    store.put(
        "keyed.servers",
        id,
        "{\"service\":\"wuno96b\",\"address\":\"" + address
            + "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":18,\"state\":\"ready\","
            + "\"cold_remaining_ms\":0,\"sequence\":" + sequence + "}");
  }

  private Http.Answer serve(String id, Http.Message request, int workMs, int longWorkMs)
      throws Exception {
    if (!request.field("Shoreroad-Expect-Instance").equals(id)) {
      return Http.Answer.of(421, "").with("Shoreroad-Instance-Id", id);
    }
    arrivals.add(new Arrival(id, request));
    record.write(
        "server " + id + " runs " + request.field("Shoreroad-Attempt-Id") + ": "
            + escape(request.firstLine()) + " | body \""
            + escape(new String(request.body(), "ISO-8859-1")) + "\"");
    Thread.sleep(request.target().startsWith("/a/") ? workMs : longWorkMs);
    return new Http.Answer(200, new TreeMap<>(), ("answer of " + id).getBytes())
        .with("Shoreroad-Attempt-Id", request.field("Shoreroad-Attempt-Id"))
        .with("Shoreroad-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1");
  }

  static String escape(String text) {
    StringBuilder shown = new StringBuilder();
    for (char c : text.toCharArray()) {
      shown.append(c < 32 || c > 126 ? String.format("\\x%02x", (int) c) : String.valueOf(c));
    }
    return shown.toString();
  }

  /** Writes a manifest with one safe route, /a/, and one unsafe, /b/. */
  void putConfig(int version) {
    putConfig(
        version, "{\"name\":\"hule930\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}");
  }

  /** Writes the manifest with these tenants. */
  void putConfig(int version, String tenants) {
    putConfig(version, tenants, "");
  }

  /** Writes the manifest with the plain service and one of models, all with equal shares. */
  void putConfigWithEngine(int version, int models, int size) {
    StringBuilder list = new StringBuilder();
    for (int i = 0; i < models; i++) {
      list.append(i == 0 ? "" : ",")
          .append("{\"name\":\"daka51" + String.format("%04d", i) + "\",\"size\":" + size
              + ",\"share\":" + 1.0 / models + ",\"pace\":1.0,\"load_s\":12.0,\"warm_s\":1.1}");
    }
    putConfig(
        version,
        "{\"name\":\"hule930\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}",
        ",{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_connections\":474,"
            + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":18,"
            + "\"kv_capacity_tokens\":969230,\"stride\":5,\"models\":[" + list + "],"
            + "\"step_ms\":6.07,\"per_seq_ms\":0.348,\"context_per_k\":0.00705,"
            + "\"read_per_s\":46000.0,\"pairs_per_m\":0.7,\"chunk\":2048,"
            + "\"report_lag_ms\":200.0,\"loads_per_s\":4.0,\"loads_at_once\":6,\"keeps\":1,"
            + "\"far_x\":3.0,\"form_ms\":300.0,\"usual\":{\"prompt\":1076,\"answer\":116}}}");
  }

  private void putConfig(int version, String tenants, String moreServices) {
    String route =
        "\"host\":\"" + HOST + "\",\"timeout_ms\":4000,\"target_latency_ms\":386,\"priority\":2,"
            + "\"service\":\"wuno96b\",\"max_attempts\":2,\"allow_anonymous\":false}";
    store.put(
        "keyed.op",
        "config",
        "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"ra\",\"path_prefix\":\"/a/\",\"kind\":\"safe\"," + route + ","
            + "{\"name\":\"rb\",\"path_prefix\":\"/b/\",\"kind\":\"unsafe\"," + route
            + (moreServices.isEmpty() ? "" : "," + STREAM_ROUTE) + "],"
            + "\"services\":[{\"name\":\"wuno96b\",\"health_path\":\"/health\","
            + "\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}" + moreServices + "],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            + "\"tenants\":[" + tenants + "]}");
  }

  /** Starts a process and waits until it is ready; no limit of descriptors is set if it is 0. */
  Edge startEdge(String node, int maxFds) throws Exception {
    Edge edge = new Edge(node, "z1", root, folder, store.address(), "");
    edge.setMaxFds(maxFds);
    edges.add(edge);
    edge.start();
    edge.awaitReady(30_000);
    return edge;
  }

  String nextId() {
    return String.format("9c41d07b%08x", ids.incrementAndGet());
  }

  /** Returns the head of a request, whose fields end with the given ones. */
  static String head(String method, String target, String id, String more) {
    return method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nShoreroad-Attempt-Id: " + id
        + "\r\nShoreroad-Deadline-Ms: 4000\r\nAuthorization: Bearer " + KEY + "\r\n" + more + "\r\n";
  }

  @Override
  public void close() throws Exception {
    for (Edge edge : edges) {
      edge.close();
    }
    for (Http.Server server : servers) {
      server.close();
    }
    for (ModelRunner runner : modelRunners) {
      runner.close();
    }
    if (System.getenv("KEEP") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    }
  }
}
