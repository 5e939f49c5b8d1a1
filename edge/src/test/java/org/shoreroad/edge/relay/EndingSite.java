package org.shoreroad.edge.relay;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Whole processes and upstreams that end, and start again as new incarnations, under requests whose
 * path contains {@link #ENDING}. Thread-safe.
 */
final class EndingSite implements AutoCloseable {
  /** Part of the path of a request that ends its upstreams. */
  static final String ENDING = "/end";

  private static final int PROCESSES = 3;
  private static final int DOWN_MS = 1_500;
  private static final int SOUND_GAP_MS = 25;
  private static final int DEADLINE_MS = 1_000;

  /** Time until the processes exchange heartbeats and have read the list of upstreams. */
  private static final int START_MS = 2_500;

  private final Ending ending;
  private final AtomicInteger calls = new AtomicInteger();
  private final List<Long> endNanos = new CopyOnWriteArrayList<>();
  private final List<Long> arrivalNanos = new CopyOnWriteArrayList<>();
  private final Set<String> ended = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(8);
  private final EdgeSite site;

  /** What an upstream does with a request that ends it. */
  interface Ending {
    /**
     * Writes bytes and ends the upstream.
     *
     * @return false to close the connection in order
     */
    boolean answer(EndingSite site, String id, String request, OutputStream out) throws Exception;
  }

  /** Starts processes and upstreams with ids of this prefix. */
  EndingSite(String prefix, int upstreams, Ending ending) throws Exception {
    this.ending = ending;
    Map<String, FakeUpstream> started = new HashMap<>();
    for (int i = 0; i < upstreams; i++) {
      String id = prefix + i;
      started.put(id, new FakeUpstream((head, out, socket) -> answer(id, head, out)));
    }
    site = new EdgeSite(started);
    for (int i = 0; i < PROCESSES; i++) {
      site.start("front-" + i, "z" + i % 2);
    }
    Thread.sleep(START_MS);
    for (EdgeSite.Member process : site.members()) {
      process.checkStarted();
    }
  }

  private boolean answer(String id, String request, OutputStream out) throws Exception {
    if (request.contains(ENDING)) {
      arrivalNanos.add(System.nanoTime());
      return ending.answer(this, id, request, out);
    }
    LoopbackRelay.write(out, LoopbackRelay.wholeAnswer(request, "served"));
    return true;
  }

  /** Ends an upstream, which starts again later; does nothing if it is down. */
  void end(String id) throws IOException {
    if (ended.add(id)) {
      endNanos.add(System.nanoTime());
      site.crash(id);
      timer.schedule(() -> start(id), DOWN_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Ends an upstream after a delay. */
  void endAfter(int delayMs, String id) {
    timer.schedule(
        () -> {
          end(id);
          return null;
        },
        delayMs,
        TimeUnit.MILLISECONDS);
  }

  private Void start(String id) throws IOException {
    ended.remove(id);
    site.restart(id);
    return null;
  }

  /** Sends sound requests that differ, to the processes in turn at a fixed interval. */
  void sendSound(String path) {
    timer.scheduleAtFixedRate(
        () -> call(path + calls.get()), 0, SOUND_GAP_MS, TimeUnit.MILLISECONDS);
  }

  /** Sends one request to the next process and returns the answer, which may be incomplete. */
  String call(String path) {
    int number = calls.incrementAndGet();
    List<EdgeSite.Member> processes = site.members();
    EdgeSite.Member process = processes.get(number % processes.size());
    StringBuilder answer = new StringBuilder();
    try (Socket socket = new Socket(process.callers().getAddress(), process.callers().getPort())) {
      socket.setSoTimeout(EdgeSite.DEADLINE_MS);
      LoopbackRelay.write(
          socket.getOutputStream(),
          "GET "
              + path
              + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt: a"
              + number
              + "\r\nX-Deadline: "
              + DEADLINE_MS
              + "\r\nX-Model: m\r\nX-Tokens: 20,40\r\nAuthorization: Bearer "
              + EdgeSite.KEY
              + "\r\nConnection: close\r\n\r\n");
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (int next = in.read(); next >= 0; next = in.read()) {
        answer.append((char) next);
      }
    } catch (IOException e) {
      answer.append(e);
    }
    return answer.toString();
  }

  /** Returns the times of the ends of upstreams, in order. */
  List<Long> endNanos() {
    return endNanos;
  }

  /** Returns how many requests that end upstreams reached one after this time. */
  long arrivalsAfter(long nanos) {
    return arrivalNanos.stream().filter(arrival -> arrival - nanos > 0).count();
  }

  /** Returns all log lines of the processes. */
  String logged() {
    StringBuilder lines = new StringBuilder();
    site.members().forEach(process -> lines.append(process.logged()));
    return lines.toString();
  }

  @Override
  public void close() throws Exception {
    timer.shutdownNow();
    site.close();
  }
}
