package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that fail at a process which alone has lost the path to all upstreams.
 */
@Timeout(60)
class CutOffProcessTest {
  private static final List<String> PATHS = List.of("/once/", "/again/", "/llm/");
  private static final int CALL_GAP_MS = 25;
  private static final int EVENTS = 8;
  private static final int EVENT_MS = 20;
  private static final int WORK_MS = 15;

  /** Time until the processes exchange heartbeats and have read the list of upstreams. */
  private static final int START_MS = 2_500;

  /** Time within which a process must find that it has lost the path. */
  private static final int DETECTION_MS = 600;

  private static final int CUT_MS = 2_500;
  private static final int TARGET_MS = 400;

  /** More than fits into one message between processes. */
  private static final int LONG_BODY_BYTES = 700_000;

  private static final int MIN_REQUESTS = 30;
  private static final double MIN_SERVED = 0.98;
  private static final double MIN_DIRECT = 0.9;

  private final AtomicInteger ids = new AtomicInteger();
  private final Queue<Result> results = new ConcurrentLinkedQueue<>();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Map<String, Integer> bodyBytes = new ConcurrentHashMap<>();
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final ScheduledExecutorService ticks = Executors.newScheduledThreadPool(1);
  private EdgeSite site;

  /** Result of one try of a caller. */
  private record Result(
      EdgeSite.Member process,
      String path,
      String attempt,
      long sentNanos,
      int status,
      String answer,
      boolean isWhole,
      long tookMs) {
    private boolean isServed() {
      return status == 200 && isWhole;
    }
  }

  private void start(int processes) throws Exception {
    Map<String, FakeUpstream> upstreams = new HashMap<>();
    for (int i = 0; i < 3; i++) {
      upstreams.put("web-" + i, new FakeUpstream(this::answerPlain));
      upstreams.put(LoopbackRelay.HEAD_PREFIX + i, new FakeUpstream(this::stream));
    }
    site = new EdgeSite(upstreams);
    for (int i = 0; i < processes; i++) {
      site.start("front-" + i, "z" + i % 2);
    }
    Thread.sleep(START_MS);
    for (EdgeSite.Member process : site.members()) {
      process.checkStarted();
      AtomicInteger count = new AtomicInteger();
      ticks.scheduleAtFixedRate(
          () -> {
            String path = PATHS.get(count.getAndIncrement() % PATHS.size());
            callers.execute(() -> results.add(call(process, path)));
          },
          0,
          CALL_GAP_MS,
          TimeUnit.MILLISECONDS);
    }
    Thread.sleep(1_000);
  }

  @AfterEach
  void stop() throws Exception {
    ticks.shutdownNow();
    callers.shutdown();
    callers.awaitTermination(EdgeSite.DEADLINE_MS, TimeUnit.MILLISECONDS);
    site.close();
  }

  private boolean answerPlain(String head, OutputStream out, Socket socket) throws Exception {
    recordRun(head);
    Thread.sleep(WORK_MS);
    String answer = LoopbackRelay.wholeAnswer(head, "served");
    // The next request then needs a new connection.
    boolean isClosing = head.startsWith("GET /again/");
    LoopbackRelay.write(
        out, isClosing ? answer.replace("X-Seal", "Connection: close\r\nX-Seal") : answer);
    return !isClosing;
  }

  private boolean stream(String head, OutputStream out, Socket socket) throws Exception {
    recordRun(head);
    String last = FakeUpstream.header(head, "Last-Event-Id");
    String attempt = FakeUpstream.header(head, "X-Attempt");
    LoopbackRelay.write(
        out,
        "HTTP/1.1 200 OK\r\nX-Attempt: "
            + attempt
            + "\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int id = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; id <= EVENTS; id++) {
      Thread.sleep(EVENT_MS);
      LoopbackRelay.writeChunk(out, "id: " + id + "\ndata: " + attempt + "\n\n");
    }
    LoopbackRelay.write(out, "0\r\n\r\n");
    return true;
  }

  private void recordRun(String head) {
    String attempt = FakeUpstream.header(head, "X-Attempt");
    bodyBytes.put(attempt, Integer.parseInt(FakeUpstream.header(head, "Content-Length")));
    runs.computeIfAbsent(attempt, added -> new AtomicInteger()).incrementAndGet();
  }

  private Result call(EdgeSite.Member process, String path) {
    return call(process, path, "");
  }

  private Result call(EdgeSite.Member process, String path, String body) {
    String attempt = "a" + ids.incrementAndGet();
    long sentNanos = System.nanoTime();
    StringBuilder answer = new StringBuilder();
    try (Socket socket = new Socket(process.callers().getAddress(), process.callers().getPort())) {
      socket.setSoTimeout(EdgeSite.DEADLINE_MS);
      LoopbackRelay.write(
          socket.getOutputStream(),
          "GET "
              + path
              + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt: "
              + attempt
              + "\r\nX-Deadline: "
              + EdgeSite.DEADLINE_MS
              + "\r\nX-Model: m\r\nX-Tokens: 20,40\r\nAuthorization: Bearer "
              + EdgeSite.KEY
              + "\r\nContent-Length: "
              + body.length()
              + "\r\nConnection: close\r\n\r\n"
              + body);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      for (int next = in.read(); next >= 0; next = in.read()) {
        answer.append((char) next);
      }
    } catch (IOException e) {
      answer.append(e);
    }
    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
    String text = answer.toString();
    int status = text.startsWith("HTTP/1.1 ") ? Integer.parseInt(text.substring(9, 12)) : 0;
    return new Result(
        process, path, attempt, sentNanos, status, text, isWhole(path, attempt, text), tookMs);
  }

  private static boolean isWhole(String path, String attempt, String answer) {
    if (!path.equals("/llm/")) {
      return answer.endsWith("served");
    }
    int from = 0;
    for (int id = 1; id <= EVENTS; id++) {
      from = answer.indexOf("id: " + id + "\ndata: " + attempt + "\n\n", from);
      if (from < 0) {
        return false;
      }
    }
    return answer.endsWith("0\r\n\r\n");
  }

  private List<Result> resultsOf(EdgeSite.Member process, long fromNanos, long toNanos) {
    List<Result> found = new ArrayList<>();
    for (Result result : results) {
      boolean isWithin = result.sentNanos() - fromNanos >= 0 && result.sentNanos() - toNanos < 0;
      if (result.process() == process && isWithin) {
        found.add(result);
      }
    }
    return found;
  }

  private void checkServed(EdgeSite.Member process, long fromNanos, long toNanos) {
    List<Result> judged = resultsOf(process, fromNanos, toNanos);
    List<Result> failed = judged.stream().filter(result -> !result.isServed()).toList();
    List<Long> times = judged.stream().map(Result::tookMs).sorted().toList();
    assertThat("requests", judged.size(), greaterThan(MIN_REQUESTS));
    assertThat(
        "served of " + judged.size() + ", failed: " + failed,
        1 - (double) failed.size() / judged.size(),
        greaterThanOrEqualTo(MIN_SERVED));
    assertThat("median time", times.get(times.size() / 2), lessThan((long) TARGET_MS));
  }

  private void checkNothingRanTwice() {
    List<String> twice =
        results.stream()
            .filter(result -> result.path().equals("/once/"))
            .map(Result::attempt)
            .filter(attempt -> runs.getOrDefault(attempt, new AtomicInteger()).get() > 1)
            .toList();
    assertThat("ran twice", twice, is(empty()));
  }

  private void checkRefusalsAreTrue() {
    List<Result> untrue =
        results.stream()
            .filter(result -> result.status() == 503 && runs.containsKey(result.attempt()))
            .filter(result -> result.path().equals("/once/"))
            .toList();
    assertThat("refused although run", untrue, is(empty()));
  }

  private void cutAndCheck(List<EdgeSite.Member> cut, PathProxy.Cut how) throws Exception {
    for (EdgeSite.Member process : cut) {
      process.cutAll(how);
    }
    long fromNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DETECTION_MS);
    Thread.sleep(DETECTION_MS + CUT_MS);
    long toNanos = System.nanoTime() - TimeUnit.SECONDS.toNanos(1);
    Thread.sleep(EdgeSite.DEADLINE_MS - 1_000);
    for (EdgeSite.Member process : site.members()) {
      checkServed(process, fromNanos, toNanos);
    }
    checkNothingRanTwice();
    checkRefusalsAreTrue();
  }

  @ParameterizedTest
  @EnumSource(PathProxy.Cut.class)
  void requestsAtCutOffProcessAreServed(PathProxy.Cut how) throws Exception {
    start(3);
    cutAndCheck(site.members().subList(0, 1), how);
  }

  @ParameterizedTest
  @EnumSource(PathProxy.Cut.class)
  void requestsAreServedWhileMostProcessesAreCutOff(PathProxy.Cut how) throws Exception {
    start(3);
    cutAndCheck(site.members().subList(0, 2), how);
  }

  @ParameterizedTest
  @EnumSource(PathProxy.Cut.class)
  void requestsGoDirectlyAgainAfterCutEnds(PathProxy.Cut how) throws Exception {
    start(2);
    EdgeSite.Member process = site.members().get(0);
    process.cutAll(how);
    Thread.sleep(2_000);
    process.healAll();
    Thread.sleep(1_500);
    int before = process.directSends();
    long fromNanos = System.nanoTime();
    Thread.sleep(1_500);
    int sent = process.directSends() - before;
    long toNanos = System.nanoTime();
    Thread.sleep(1_000);
    checkServed(process, fromNanos, toNanos);
    int requests = resultsOf(process, fromNanos, toNanos).size();
    assertThat("sent directly", sent, greaterThan((int) (MIN_DIRECT * requests)));
    checkNothingRanTwice();
  }

  @Test
  void requestsAreServedAfterForwardingProcessWasKilled() throws Exception {
    start(3);
    EdgeSite.Member process = site.members().get(0);
    process.cutAll(PathProxy.Cut.RESET);
    Thread.sleep(DETECTION_MS);
    site.members().get(1).close();
    long fromNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DETECTION_MS);
    Thread.sleep(DETECTION_MS + CUT_MS);
    long toNanos = System.nanoTime() - TimeUnit.SECONDS.toNanos(1);
    checkServed(process, fromNanos, toNanos);
    checkNothingRanTwice();
    checkRefusalsAreTrue();
  }

  @Test
  void longBodyReachesUpstreamThroughAnotherProcess() throws Exception {
    start(2);
    EdgeSite.Member process = site.members().get(0);
    process.cutAll(PathProxy.Cut.RESET);
    Thread.sleep(DETECTION_MS);
    Result result = call(process, "/again/", "x".repeat(LONG_BODY_BYTES));
    assertThat(result.toString(), result.isServed(), is(true));
    assertThat(bodyBytes.get(result.attempt()), is(LONG_BODY_BYTES));
  }

  @Test
  void requestsAreRefusedAtOnceWhileAllProcessesAreCutOff() throws Exception {
    start(2);
    for (EdgeSite.Member process : site.members()) {
      process.cutAll(PathProxy.Cut.HANG);
    }
    long fromNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
    Thread.sleep(2_500);
    long toNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(500);
    for (EdgeSite.Member process : site.members()) {
      List<Result> refused = resultsOf(process, fromNanos, toNanos);
      assertThat(refused, not(empty()));
      for (Result result : refused) {
        assertThat(result.toString(), result.status(), is(503));
        assertThat(result.toString(), result.tookMs(), lessThan((long) TARGET_MS));
      }
    }
    checkRefusalsAreTrue();
  }
}
