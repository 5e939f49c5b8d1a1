package org.shoreroad.bench;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.HdrHistogram.Histogram;
import org.shoreroad.daemon.Daemon;
import org.shoreroad.standins.BoxListServer;
import org.shoreroad.standins.EngineHistory;
import org.shoreroad.standins.EngineServer;
import org.shoreroad.standins.LogServer;

/**
 * Compares calls through gateway and owner with direct calls to the same engine stand-in.
 *
 * <p>Everything runs in one process, so thread names determine whose processor time is counted.
 */
final class PathBench implements AutoCloseable {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final int DAEMONS = 3;
  private static final int WARM_UP = 300;
  private static final int CALLS = 600;
  private static final int OPEN_STREAMS = 500;
  private static final int LOAD_STREAMS = 64;
  private static final int LOAD_TOKENS = 400;
  private static final String KEY = "bench-key";
  private static final List<String> DAEMON_THREADS =
      List.of("gateway", "engine-stream", "owner", "nioEventLoopGroup", "probe", "OkHttp");

  private final LogServer log = LogServer.start(0, 1_000_000, 400);
  private final BoxListServer boxList = BoxListServer.start(0, 0);
  private final EngineHistory history = new EngineHistory();
  private final List<EngineServer> engines = new ArrayList<>();
  private final List<Daemon> daemons = new ArrayList<>();
  private final OkHttpClient client = newClient();

  private static OkHttpClient newClient() {
    OkHttpClient built =
        new OkHttpClient.Builder()
            .connectionPool(
                new okhttp3.ConnectionPool(1_000, 60, java.util.concurrent.TimeUnit.SECONDS))
            .readTimeout(java.time.Duration.ofSeconds(60))
            .build();
    built.dispatcher().setMaxRequests(2_000);
    built.dispatcher().setMaxRequestsPerHost(2_000);
    return built;
  }

  static void run(Report report) throws Exception {
    try (PathBench bench = new PathBench()) {
      bench.start();
      report.title("whole path: gateway and owner in different processes' place, one machine");
      bench.latency(report);
      bench.openStreams(report);
      bench.throughput(report);
    }
  }

  private void start() throws Exception {
    StringBuilder boxes = new StringBuilder();
    for (int i = 1; i <= 4; i++) {
      EngineServer engine = EngineServer.start("b" + i, false, 0, 0, 0, history);
      engines.add(engine);
      boxList.add("b" + i, engine.address(), "d", "z");
      boxes.append("  - {name: b").append(i).append(", labels: {e: m}}\n");
    }
    for (int i = 0; i < DAEMONS; i++) {
      daemons.add(BenchDaemon.start("n" + i, log.url(), boxList.url()));
    }
    String sha =
        com.google.common.hash.Hashing.sha256()
            .hashString(KEY, java.nio.charset.StandardCharsets.UTF_8)
            .toString();
    String yaml =
        "base_version: 0\nmodels:\n  - {name: m, boxes_per_replica: 4, box_selector: {e: m},"
            + " max_running: 1000}\naccounts:\n  - {name: a, max_open: 2000, key_sha256: "
            + sha
            + "}\nkinds:\n  - {name: k}\nroutes:\n"
            + "  - {name: r, accounts: ['*'], kinds: ['*'], target: model/m}\nboxes:\n"
            + boxes;
    await(() -> call(ops(0) + "/ops/config", "Bearer o", yaml) == 200);
    await(() -> call(gateway(notOwner()), "Bearer " + KEY, body(1, false)) == 200);
  }

  private interface Condition {
    boolean isMet() throws IOException;
  }

  private static void await(Condition condition) throws Exception {
    for (int i = 0; i < 600 && !condition.isMet(); i++) {
      Thread.sleep(50);
    }
  }

  private String ops(int daemon) {
    return "http://127.0.0.1:" + daemons.get(daemon).opsAddress().getPort();
  }

  private String gateway(int daemon) {
    return "http://127.0.0.1:"
        + daemons.get(daemon).callerAddress().getPort()
        + "/v1/chat/completions";
  }

  /** Returns a daemon that does not own the replica, so that calls pass gateway and owner. */
  private int notOwner() throws IOException {
    for (int i = 0; i < DAEMONS; i++) {
      Request request = new Request.Builder().url(ops(i) + "/metrics").build();
      try (Response response = client.newCall(request).execute()) {
        if (response.body().string().contains("shoreroad_owner_replicas_serving 0")) {
          return i;
        }
      }
    }
    return 0;
  }

  private int call(String url, String authorization, String body) throws IOException {
    Request request =
        new Request.Builder()
            .url(url)
            .header("Authorization", authorization)
            .header("X-Request-Kind", "k")
            .header("X-Request-Id", "direct-" + System.nanoTime())
            .post(RequestBody.create(body, JSON))
            .build();
    try (Response response = client.newCall(request).execute()) {
      response.body().bytes();
      return response.code();
    }
  }

  private static String body(int tokens, boolean isStreaming) {
    return "{\"model\":\"m\",\"stream\":"
        + isStreaming
        + ",\"max_tokens\":"
        + tokens
        + ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
  }

  private void latency(Report report) throws Exception {
    String url = gateway(notOwner());
    String loadName =
        history.events().stream()
            .filter(e -> e.kind().equals("load") && e.box().equals("b1"))
            .findFirst()
            .orElseThrow()
            .name();
    String directUrl = "http://" + engines.get(0).address() + "/v1/chat/completions";
    String directBody = body(1, false).replace("\"m\"", "\"" + loadName + "\"");
    Histogram relayedTimes = new Histogram(3);
    Histogram directTimes = new Histogram(3);
    for (int i = 0; i < WARM_UP + CALLS; i++) {
      long begun = System.nanoTime();
      call(directUrl, "", directBody);
      long middle = System.nanoTime();
      call(url, "Bearer " + KEY, body(1, false));
      long end = System.nanoTime();
      if (i >= WARM_UP) {
        directTimes.recordValue((middle - begun) / 1_000);
        relayedTimes.recordValue((end - middle) / 1_000);
      }
    }
    for (double percentile : new double[] {50, 99}) {
      long directMicros = directTimes.getValueAtPercentile(percentile);
      long relayedMicros = relayedTimes.getValueAtPercentile(percentile);
      report.line(
          "p%.0f: direct %d us, through both hops %d us: %.1f times, %d us more",
          percentile,
          directMicros,
          relayedMicros,
          relayedMicros / (double) directMicros,
          relayedMicros - directMicros);
    }
  }

  private void openStreams(Report report) throws Exception {
    engines.forEach(engine -> engine.setTokenDelayMs(200));
    String url = gateway(notOwner());
    int threadsBefore = daemonThreads();
    long heapBefore = usedHeap();
    CountDownLatch ended = new CountDownLatch(OPEN_STREAMS);
    AtomicLong broken = new AtomicLong();
    ExecutorService pool = Executors.newCachedThreadPool();
    for (int i = 0; i < OPEN_STREAMS; i++) {
      pool.execute(
          () -> {
            try {
              call(url, "Bearer " + KEY, body(60, true));
            } catch (IOException e) {
              broken.incrementAndGet();
            } finally {
              ended.countDown();
            }
          });
    }
    Thread.sleep(6_000);
    int threads = daemonThreads() - threadsBefore;
    long heap = usedHeap() - heapBefore;
    report.line(
        "%d open streams: %d more daemon threads (%.2f a stream), heap of daemons, stand-ins and"
            + " client together %d KB a stream",
        OPEN_STREAMS, threads, threads / (double) OPEN_STREAMS, heap / OPEN_STREAMS / 1_024);
    ended.await();
    pool.shutdown();
    report.line("streams that broke: %d", broken.get());
    reportRefusals(report);
    engines.forEach(engine -> engine.setTokenDelayMs(0));
  }

  /** Prints the non-zero counters of refusals, probes, late messages and retries. */
  private void reportRefusals(Report report) throws IOException {
    for (int i = 0; i < DAEMONS; i++) {
      Request request = new Request.Builder().url(ops(i) + "/metrics").build();
      try (Response response = client.newCall(request).execute()) {
        response
            .body()
            .string()
            .lines()
            .filter(l -> l.matches("shoreroad_(refusals|owner_probe|gateway_late|retries).*"))
            .filter(l -> !l.endsWith(" 0.0"))
            .forEach(l -> report.line("   %s", l));
      }
    }
  }

  private void throughput(Report report) throws Exception {
    String url = gateway(notOwner());
    AtomicLong receivedTokens = new AtomicLong();
    ExecutorService pool = Executors.newFixedThreadPool(LOAD_STREAMS);
    CountDownLatch ended = new CountDownLatch(LOAD_STREAMS * 4);
    Map<String, Long> before = daemonCpu();
    long begun = System.nanoTime();
    for (int i = 0; i < LOAD_STREAMS * 4; i++) {
      pool.execute(
          () -> {
            try {
              receivedTokens.addAndGet(
                  call(url, "Bearer " + KEY, body(LOAD_TOKENS, true)) == 200 ? LOAD_TOKENS : 0);
            } catch (IOException e) {
              report.line("a stream broke: %s", e.getMessage());
            } finally {
              ended.countDown();
            }
          });
    }
    ended.await();
    double seconds = (System.nanoTime() - begun) / 1e9;
    pool.shutdown();
    double cpuSeconds = 0;
    StringBuilder parts = new StringBuilder();
    for (Map.Entry<String, Long> entry : daemonCpu().entrySet()) {
      double own = (entry.getValue() - before.getOrDefault(entry.getKey(), 0L)) / 1e9;
      cpuSeconds += own;
      parts.append(String.format(" %s %.2f s", entry.getKey(), own));
    }
    report.line(
        "%d tokens in %.1f s: %.0f tokens/s; daemon threads used %.2f core-seconds (%s ):"
            + " %.0f tokens/s per core",
        receivedTokens.get(),
        seconds,
        receivedTokens.get() / seconds,
        cpuSeconds,
        parts,
        receivedTokens.get() / cpuSeconds);
  }

  private static int daemonThreads() {
    int count = 0;
    for (Thread thread : Thread.getAllStackTraces().keySet()) {
      count += DAEMON_THREADS.stream().anyMatch(n -> thread.getName().startsWith(n)) ? 1 : 0;
    }
    return count;
  }

  /**
   * Returns the processor time in ns of live daemon threads by name prefix. Ended threads are not
   * counted.
   */
  private static Map<String, Long> daemonCpu() {
    ThreadMXBean bean = ManagementFactory.getThreadMXBean();
    Map<String, Long> cpu = new java.util.TreeMap<>();
    for (Thread thread : Thread.getAllStackTraces().keySet()) {
      for (String name : DAEMON_THREADS) {
        if (thread.getName().startsWith(name)) {
          cpu.merge(name, Math.max(0, bean.getThreadCpuTime(thread.getId())), Long::sum);
        }
      }
    }
    return cpu;
  }

  private static long usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  @Override
  public void close() {
    daemons.forEach(Daemon::stopNow);
    engines.forEach(EngineServer::close);
    boxList.close();
    log.close();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }
}
