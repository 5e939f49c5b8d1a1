package org.shoreroad.bench;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.HdrHistogram.Histogram;
import org.shoreroad.daemon.Daemon;
import org.shoreroad.standins.BoxListServer;
import org.shoreroad.standins.LogServer;

/**
 * Measures how long a configuration change takes to be in force at all daemons, and the cost of an
 * idle daemon, with several daemons in one process.
 */
final class FleetBench {
  private static final int[] SIZES = {3, 9, 27};
  private static final int CHANGES = 30;
  private static final long IDLE_MS = 5_000;
  private static final int MAX_POLLS = 1_000;
  private static final MediaType YAML = MediaType.get("application/yaml");

  private final OkHttpClient client = new OkHttpClient();
  private final List<Daemon> daemons = new ArrayList<>();

  private FleetBench() {}

  static void run(Report report) throws Exception {
    report.title("configuration: from POST to in force at every daemon, and idle cost");
    List<Slope.Point> times = new ArrayList<>();
    for (int size : SIZES) {
      try (LogServer log = LogServer.start(0, 1_000_000, 400);
          BoxListServer boxes = BoxListServer.start(0, 0)) {
        times.add(new FleetBench().measure(report, size, log, boxes));
      }
    }
    report.slope("POST to in force, median ms", "daemons", Slope.of(times));
  }

  private Slope.Point measure(Report report, int size, LogServer log, BoxListServer boxes)
      throws Exception {
    for (int i = 0; i < size; i++) {
      daemons.add(BenchDaemon.start("n" + i, log.url(), boxes.url()));
    }
    awaitNodes(size);
    Histogram histogram = new Histogram(3);
    long version = 0;
    for (int i = 0; i < CHANGES; i++) {
      long begun = System.nanoTime();
      version = apply(version, i);
      awaitInForce(version);
      histogram.recordValue((System.nanoTime() - begun) / 1_000);
    }
    double idleShare = idleShareOfCore() / size;
    long readsBefore = log.readCount();
    Thread.sleep(IDLE_MS);
    double readsPerSecond = (log.readCount() - readsBefore) * 1_000.0 / IDLE_MS / size;
    double medianMs = histogram.getValueAtPercentile(50) / 1e3;
    report.line(
        "%d daemons: median %.0f ms, worst of %d %.0f ms; idle: %.2f %% of a core and %.1f reads"
            + " of the log a second each",
        size, medianMs, CHANGES, histogram.getMaxValue() / 1e3, idleShare * 100, readsPerSecond);
    daemons.parallelStream().forEach(Daemon::stopNow);
    return new Slope.Point(size, medianMs);
  }

  private static double idleShareOfCore() throws InterruptedException {
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    long cpu = system.getProcessCpuTime();
    long begun = System.nanoTime();
    Thread.sleep(IDLE_MS);
    return (system.getProcessCpuTime() - cpu) / (double) (System.nanoTime() - begun);
  }

  private String ops(int daemon, String call) {
    return "http://127.0.0.1:" + daemons.get(daemon).opsAddress().getPort() + "/ops/" + call;
  }

  private String call(String url, String body) throws IOException {
    Request.Builder builder = new Request.Builder().url(url).header("Authorization", "Bearer o");
    Request request =
        body.isEmpty() ? builder.build() : builder.post(RequestBody.create(body, YAML)).build();
    try (Response response = client.newCall(request).execute()) {
      return response.body().string();
    }
  }

  private void awaitNodes(int size) throws Exception {
    for (int i = 0; i < MAX_POLLS; i++) {
      String status = call(ops(0, "status"), "");
      if (status.split("\"ALIVE\"", -1).length == size) {
        return;
      }
      Thread.sleep(20);
    }
    throw new IllegalStateException("not all daemons became ALIVE");
  }

  private long apply(long base, int number) throws IOException {
    String yaml =
        "base_version: " + base + "\nkinds:\n  - {name: k, deadline_ms: " + (100 + number);
    String answer = call(ops(number % daemons.size(), "config"), yaml + "}\n");
    return Long.parseLong(answer.replaceAll("(?s).*\"version\" : ([0-9]+).*", "$1"));
  }

  private void awaitInForce(long version) throws Exception {
    for (int i = 0; i < MAX_POLLS; i++) {
      if (call(ops(0, "in-force/" + version), "").contains("\"in_force\" : true")) {
        return;
      }
      Thread.sleep(5);
    }
    throw new IllegalStateException("version " + version + " did not come into force");
  }
}
