package org.shoreroad.it;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.shoreroad.daemon.Daemon;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.intent.RequestKey;
import org.shoreroad.standins.BoxListServer;
import org.shoreroad.standins.EngineHistory;
import org.shoreroad.standins.EngineServer;
import org.shoreroad.standins.LogServer;
import org.shoreroad.standins.PlainServiceServer;

/** One site in one process: the platform's stand-ins, boxes, a plain service and daemons. */
final class Site implements AutoCloseable {
  static final String KEY = "test-key";
  static final String OPERATOR = "operator";

  private static final long WAIT_MS = 30_000;
  private static final MediaType JSON = MediaType.get("application/json");

  final LogServer log;
  final BoxListServer boxList = BoxListServer.start(0, 50);
  final PlainServiceServer service = PlainServiceServer.start(0);
  final EngineHistory history = new EngineHistory();
  final Map<String, EngineServer> engines = new LinkedHashMap<>();
  final List<Daemon> daemons = new ArrayList<>();
  final List<String> callerUrls = new java.util.concurrent.CopyOnWriteArrayList<>();
  final List<String> opsUrls = new java.util.concurrent.CopyOnWriteArrayList<>();
  final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .readTimeout(java.time.Duration.ofSeconds(6))
          .build();

  /** What a caller got. */
  record Answer(int status, String body, Map<String, String> headers) {
    boolean isWhole() {
      return status == 200;
    }

    String verdict() {
      int at = body.indexOf("\"verdict\":\"");
      return at < 0 ? "" : body.substring(at + 11, body.indexOf('"', at + 11));
    }

    String code() {
      int at = body.indexOf("\"code\":\"");
      return at < 0 ? "" : body.substring(at + 8, body.indexOf('"', at + 8));
    }
  }

  private Site(int retainedRecords) {
    log = LogServer.start(0, retainedRecords, 400);
  }

  /** Starts a site with so many boxes in each of the domains and so many daemons. */
  static Site start(int daemons, int domains, int boxesEach, boolean isFenced) {
    Site site = new Site(1_000_000);
    for (int d = 1; d <= domains; d++) {
      for (int b = 1; b <= boxesEach; b++) {
        site.addBox("d" + d, "d" + d + "-b" + b, isFenced);
      }
    }
    for (int n = 1; n <= daemons; n++) {
      site.addDaemon("n" + n);
    }
    site.await("all ready", () -> site.opsUrls.stream().allMatch(site::isReady));
    return site;
  }

  /** Starts a site of four boxes whose log keeps only so many records of a stream. */
  static Site startWithRetention(int daemons, int retainedRecords, String... extra) {
    Site site = new Site(retainedRecords);
    for (int b = 1; b <= 4; b++) {
      site.addBox("d1", "d1-b" + b, false);
    }
    for (int n = 1; n <= daemons; n++) {
      site.addDaemon("n" + n, extra);
    }
    site.await("all ready", () -> site.opsUrls.stream().allMatch(site::isReady));
    return site;
  }

  void addBox(String domain, String name, boolean isFenced) {
    EngineServer engine = EngineServer.start(name, isFenced, 1, 50, 0, history);
    engines.put(name, engine);
    boxList.add(name, engine.address(), domain, "z1");
  }

  List<String> daemonArgs(String id) {
    return List.of(
        "--node-id", id,
        "--zone", "z1",
        "--caller-listen", "127.0.0.1:0",
        "--ops-listen", "127.0.0.1:0",
        "--peer-listen", "127.0.0.1:0",
        "--log-url", log.url(),
        "--boxes-url", boxList.url(),
        "--peer-token", "peers",
        "--operator-token", OPERATOR,
        "--unready-ms", "100");
  }

  Daemon addDaemon(String id, String... extra) {
    List<String> args = new ArrayList<>(daemonArgs(id));
    args.addAll(List.of(extra));
    return start(args);
  }

  /** Starts a daemon that peers reach by way of another address and that reads another log URL. */
  Daemon addDaemonWith(String id, int peerPort, String advertised, String logUrl) {
    List<String> args = new ArrayList<>(daemonArgs(id));
    args.set(args.indexOf("--peer-listen") + 1, "127.0.0.1:" + peerPort);
    args.set(args.indexOf("--log-url") + 1, logUrl);
    args.addAll(List.of("--peer-advertise", advertised));
    return start(args);
  }

  private Daemon start(List<String> args) {
    Daemon daemon = Daemon.start(Settings.parse(args.toArray(String[]::new), Map.of()));
    daemons.add(daemon);
    callerUrls.add("http://" + text(daemon.callerAddress()));
    opsUrls.add("http://" + text(daemon.opsAddress()));
    return daemon;
  }

  boolean isReady(String opsUrl) {
    return get(opsUrl + "/readyz").status() == 200;
  }

  static String text(java.net.InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  Answer get(String url) {
    return call(new Request.Builder().url(url).build());
  }

  Answer ops(int daemon, String method, String call, String body) {
    return call(
        new Request.Builder()
            .url(opsUrls.get(daemon) + "/ops/" + call)
            .header("Authorization", "Bearer " + OPERATOR)
            .method(method, method.equals("GET") ? null : RequestBody.create(body, JSON))
            .build());
  }

  /** Reads one value of a daemon's metrics; 0 if it is not there. */
  double metric(int daemon, String name) {
    String text = get(opsUrls.get(daemon) + "/metrics").body();
    return text.lines()
        .filter(line -> line.startsWith(name + " ") || line.startsWith(name + "{"))
        .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
        .sum();
  }

  double metricOfAll(String name) {
    double sum = 0;
    for (int i = 0; i < opsUrls.size(); i++) {
      sum += metric(i, name);
    }
    return sum;
  }

  /** Applies a configuration for one model with so many replicas. */
  void configure(int replicas) {
    Answer answer = ops(0, "POST", "config", yaml(replicas, 0));
    if (answer.status() != 200) {
      throw new AssertionError("not applied: " + answer);
    }
  }

  String yaml(int replicas, long base) {
    StringBuilder text = new StringBuilder();
    text.append("base_version: ").append(base).append('\n');
    text.append("policy: {downtime_weight_percent: 0}\n");
    text.append("models:\n  - {name: m, boxes_per_replica: 4, replicas: ").append(replicas);
    text.append(", box_selector: {engine: m}, max_running: 64, max_queued: 512}\n");
    text.append("accounts:\n  - {name: a, max_open: 2000, key_sha256: ").append(sha256(KEY));
    text.append("}\n  - {name: b, max_open: 2000, key_sha256: ").append(sha256("b-key"));
    text.append("}\nkinds:\n");
    text.append("  - {name: lookup, priority: 5, repeatable: true, deadline_ms: 20000}\n");
    text.append("  - {name: bulletin, priority: 0, repeatable: false, deadline_ms: 20000}\n");
    text.append("routes:\n  - {name: r, accounts: ['*'], kinds: ['*'], target: model/m}\n");
    text.append("  - {name: s, accounts: ['*'], kinds: ['*'], target: service/plain}\n");
    text.append("services:\n  - {name: plain, addresses: ['").append(service.address());
    text.append("']}\nboxes:\n");
    for (String box : engines.keySet()) {
      text.append("  - {name: ").append(box).append(", labels: {engine: m}}\n");
    }
    return text.toString();
  }

  static String sha256(String key) {
    return com.google.common.hash.Hashing.sha256()
        .hashString(key, StandardCharsets.UTF_8)
        .toString();
  }

  void awaitServing(int replicas) {
    await(
        replicas + " replicas serve",
        () -> metricOfAll("shoreroad_owner_replicas_serving") == replicas);
  }

  void await(String what, BooleanSupplier condition) {
    long endNanos = System.nanoTime() + WAIT_MS * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - endNanos > 0) {
        throw new AssertionError("waited in vain until " + what);
      }
      sleep(20);
    }
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static String newKey() {
    return RequestKey.of("a", System.currentTimeMillis(), UUID.randomUUID()).key().toString();
  }

  static String body(String prompt, int tokens, boolean isStreaming) {
    return "{\"model\":\"m\",\"stream\":"
        + isStreaming
        + ",\"max_tokens\":"
        + tokens
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + prompt
        + "\"}]}";
  }

  Answer chat(int daemon, String kind, String key, String body) {
    return call(chatRequest(daemon, kind, key, body));
  }

  Request chatRequest(int daemon, String kind, String key, String body) {
    Request.Builder builder =
        new Request.Builder()
            .url(callerUrls.get(daemon) + "/v1/chat/completions")
            .header("Authorization", "Bearer " + KEY)
            .header("X-Request-Kind", kind)
            .post(RequestBody.create(body, JSON));
    return (key.isEmpty() ? builder : builder.header("Idempotency-Key", key)).build();
  }

  /** Calls; an answer that broke off has the status 0 and what came of its body. */
  Answer call(Request request) {
    StringBuilder body = new StringBuilder();
    try (Response response = client.newCall(request).execute()) {
      Map<String, String> headers = new LinkedHashMap<>();
      response.headers().forEach(h -> headers.put(h.getFirst().toLowerCase(), h.getSecond()));
      try {
        var source = response.body().source();
        while (!source.exhausted()) {
          body.append(source.getBuffer().readUtf8());
        }
      } catch (IOException e) {
        return new Answer(0, body.toString(), headers);
      }
      return new Answer(response.code(), body.toString(), headers);
    } catch (IOException e) {
      return new Answer(-1, String.valueOf(e.getMessage()), Map.of());
    }
  }

  @Override
  public void close() {
    daemons.parallelStream().forEach(Daemon::stopNow);
    engines.values().forEach(EngineServer::close);
    service.close();
    boxList.close();
    log.close();
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }
}
