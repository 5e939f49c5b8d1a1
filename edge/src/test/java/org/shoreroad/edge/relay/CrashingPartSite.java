package org.shoreroad.edge.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Whole processes and heads of replicas that crash as soon as they write an answer to a prompt with
 * certain parts. A crashed head refuses connections and starts again as a new incarnation.
 * Thread-safe.
 */
final class CrashingPartSite implements AutoCloseable {
  private static final int HEADS = 14;
  private static final int EVENTS = 25;
  private static final int EVENT_MS = 20;
  private static final int CRASH_AFTER_MS = 25;
  private static final int DOWN_MS = 2_500;

  /** Time until the processes exchange heartbeats and have read the list of upstreams. */
  private static final int START_MS = 2_500;

  private final Set<String> crashingParts = ConcurrentHashMap.newKeySet();
  private final AtomicInteger ids = new AtomicInteger();
  private final Queue<Long> crashNanos = new ConcurrentLinkedQueue<>();
  private final Queue<Long> crashingArrivalNanos = new ConcurrentLinkedQueue<>();
  private final Set<String> crashed = ConcurrentHashMap.newKeySet();
  private final Queue<Result> results = new ConcurrentLinkedQueue<>();
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final EdgeSite site;

  /** Result of one try of a caller. */
  record Result(String parts, long sentNanos, int status, String answer) {
    /** Returns true if the whole answer came. */
    boolean isServed() {
      return status == 200 && answer.endsWith("0\r\n\r\n");
    }
  }

  /**
   * Starts processes and heads.
   *
   * @param parts the ids of the parts that crash heads
   */
  CrashingPartSite(int processes, Set<String> parts) throws Exception {
    crashingParts.addAll(parts);
    Map<String, FakeUpstream> heads = new HashMap<>();
    for (int i = 0; i < HEADS; i++) {
      String id = LoopbackRelay.HEAD_PREFIX + i;
      heads.put(id, new FakeUpstream((head, out, socket) -> answer(id, head, out)));
    }
    site = new EdgeSite(heads);
    for (int i = 0; i < processes; i++) {
      start(i);
    }
    Thread.sleep(START_MS);
    for (EdgeSite.Member process : site.members()) {
      process.checkStarted();
    }
  }

  /** Starts one more process. */
  EdgeSite.Member start(int number) throws Exception {
    return site.start("front-" + number, "z" + number % 2);
  }

  EdgeSite site() {
    return site;
  }

  private boolean answer(String id, String request, OutputStream out) throws Exception {
    String attempt = FakeUpstream.header(request, "X-Attempt");
    boolean isCrashing = isCrashing(FakeUpstream.header(request, "X-Parts"));
    if (isCrashing) {
      crashingArrivalNanos.add(System.nanoTime());
    }
    LoopbackRelay.write(
        out,
        "HTTP/1.1 200 OK\r\nX-Attempt: "
            + attempt
            + "\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= EVENTS; event++) {
      LoopbackRelay.writeChunk(out, "id: " + event + "\ndata: " + attempt + "\n\n");
      if (isCrashing) {
        Thread.sleep(CRASH_AFTER_MS);
        crash(id);
        return false;
      }
      Thread.sleep(EVENT_MS);
    }
    LoopbackRelay.write(out, "0\r\n\r\n");
    return true;
  }

  private boolean isCrashing(String parts) {
    for (String part : parts.split(",")) {
      if (crashingParts.contains(part.split(":")[0])) {
        return true;
      }
    }
    return false;
  }

  /** Crashes a head, which starts again later; does nothing if it is down. */
  void crash(String id) throws IOException {
    if (crashed.add(id)) {
      crashNanos.add(System.nanoTime());
      site.crash(id);
      timer.schedule(
          () -> {
            crashed.remove(id);
            site.restart(id);
            return null;
          },
          DOWN_MS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Crashes half of the heads at once. */
  void crashHalf() throws IOException {
    for (int i = 0; i < HEADS; i += 2) {
      crash(LoopbackRelay.HEAD_PREFIX + i);
    }
  }

  /** Ends all processes and starts as many new ones. */
  void restartProcesses() throws Exception {
    List<EdgeSite.Member> former = List.copyOf(site.members());
    for (EdgeSite.Member process : former) {
      site.stop(process);
    }
    for (int i = 0; i < former.size(); i++) {
      start(i);
    }
    Thread.sleep(START_MS);
  }

  /** Returns all log lines of the processes. */
  String logged() {
    StringBuilder lines = new StringBuilder();
    site.members().forEach(process -> lines.append(process.logged()));
    return lines.toString();
  }

  /**
   * Sends requests to the processes in turn at a fixed interval, without repeats by the caller.
   *
   * @param parts the shared parts; each request adds a last part of its own
   */
  void sendEvery(int intervalMs, String parts) {
    timer.scheduleAtFixedRate(() -> send(parts), 0, intervalMs, TimeUnit.MILLISECONDS);
  }

  /** Sends requests to one process at a fixed interval. */
  void sendEvery(int intervalMs, EdgeSite.Member process, String parts) {
    timer.scheduleAtFixedRate(
        () -> {
          String attempt = "a" + ids.incrementAndGet();
          callers.execute(() -> results.add(call(process, parts, attempt)));
        },
        0,
        intervalMs,
        TimeUnit.MILLISECONDS);
  }

  /** Sends one request to a process, if one is running. */
  void send(String parts) {
    int number = ids.incrementAndGet();
    List<EdgeSite.Member> processes = List.copyOf(site.members());
    if (processes.isEmpty()) {
      return;
    }
    EdgeSite.Member process = processes.get(number % processes.size());
    callers.execute(() -> results.add(call(process, parts, "a" + number)));
  }

  /** Calls a process with a request whose last part and body belong to it alone. */
  Result call(EdgeSite.Member process, String parts, String attempt) {
    long sentNanos = System.nanoTime();
    StringBuilder answer = new StringBuilder();
    try (Socket socket = new Socket(process.callers().getAddress(), process.callers().getPort())) {
      socket.setSoTimeout(EdgeSite.DEADLINE_MS);
      LoopbackRelay.write(
          socket.getOutputStream(),
          "GET /llm/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt: "
              + attempt
              + "\r\nX-Deadline: "
              + EdgeSite.DEADLINE_MS
              + "\r\nX-Model: m\r\nX-Tokens: 20,40\r\nX-Parts: "
              + parts
              + ","
              + attempt
              + ":5\r\nAuthorization: Bearer "
              + EdgeSite.KEY
              + "\r\nContent-Length: "
              + attempt.length()
              + "\r\nConnection: close\r\n\r\n"
              + attempt);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (int next = in.read(); next >= 0; next = in.read()) {
        answer.append((char) next);
      }
    } catch (IOException e) {
      answer.append(e);
    }
    String text = answer.toString();
    int status = text.startsWith("HTTP/1.1 ") ? Integer.parseInt(text.substring(9, 12)) : 0;
    return new Result(parts, sentNanos, status, text);
  }

  /** Returns the times of the crashes of heads, in order. */
  List<Long> crashNanos() {
    return new ArrayList<>(crashNanos);
  }

  /** Returns how many requests with a crashing part reached heads after this time. */
  long crashingArrivalsAfter(long nanos) {
    return crashingArrivalNanos.stream().filter(arrival -> arrival - nanos > 0).count();
  }

  /** Returns the results of the requests with these parts that were sent after this time. */
  List<Result> resultsAfter(long nanos, String parts) {
    return results.stream()
        .filter(result -> result.parts().equals(parts) && result.sentNanos() - nanos > 0)
        .toList();
  }

  /** Stops sending and waits for all answers. */
  void stopSending() throws InterruptedException {
    timer.shutdown();
    callers.shutdown();
    callers.awaitTermination(EdgeSite.DEADLINE_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() throws Exception {
    timer.shutdownNow();
    callers.shutdownNow();
    site.close();
  }
}
