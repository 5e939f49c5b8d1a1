package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.quarantine.Crash;
import org.shoreroad.quarantine.CrashReport;
import org.shoreroad.quarantine.RequestFingerprint;

/** A request that ends each upstream that begins to run it. */
class CrashingRequestTest extends LoopbackRelay {
  private static final int RETURNS = 6;
  private static final int UPSTREAMS = 8;
  private static final int CRASHES_ALLOWED = 3;

  private final List<FakeUpstream> upstreams = new ArrayList<>();

  /** Begins to answer and closes the connection if the path says so, else answers. */
  private static final FakeUpstream.Script CRASHING =
      (head, out, socket) -> {
        if (head.contains("/crash")) {
          write(out, "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\n");
          return false;
        }
        write(out, wholeAnswer(head, "served"));
        return true;
      };

  private void startUpstreams(String prefix) throws Exception {
    for (int i = 0; i < UPSTREAMS; i++) {
      upstreams.add(upstream(prefix + i, CRASHING));
    }
  }

  private long countArrivals(String path) {
    return upstreams.stream()
        .flatMap(upstream -> upstream.requestHeads().stream())
        .filter(head -> head.contains(" " + path + " "))
        .count();
  }

  private String returnWith(String path) throws Exception {
    String answer = "";
    for (int i = 0; i < RETURNS; i++) {
      answer = call(path);
    }
    return answer;
  }

  @Test
  void aRequestThatEndsThreeUpstreamsIsNotSentToAFourth() throws Exception {
    startUpstreams("i-");
    String answer = returnWith("/again/crash");
    assertThat(countArrivals("/again/crash"), lessThanOrEqualTo((long) CRASHES_ALLOWED));
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(answer.toLowerCase(), containsString("retry-after: "));
    assertThat(call("/again/other"), containsString("\r\n\r\nserved"));
    assertThat(countArrivals("/again/other"), is(1L));
  }

  @Test
  void aRequestThatMayRunOnlyOnceIsCountedOverItsCallersReturns() throws Exception {
    startUpstreams("i-");
    returnWith("/once/crash");
    assertThat(countArrivals("/once/crash"), is((long) CRASHES_ALLOWED));
  }

  /**
   * The crash that begins the quarantine ends the copies that wait. The request that has just
   * crashed its upstream is one of the open ones, and it has run: 503 would be a false promise.
   */
  @Test
  void aTryThatRanIsNotPromisedNotToHaveRun() throws Exception {
    startUpstreams("i-");
    for (int i = 0; i < CRASHES_ALLOWED; i++) {
      assertThat(call("/once/crash"), startsWith("HTTP/1.1 502"));
    }
    assertThat(call("/once/crash"), startsWith("HTTP/1.1 503"));
    assertThat(call("/again/crash"), startsWith("HTTP/1.1 502"));
    assertThat(call("/again/crash"), startsWith("HTTP/1.1 502"));
    assertThat(call("/again/crash"), startsWith("HTTP/1.1 503"));
  }

  @Test
  void aStreamOfAModelIsCountedTheSameWay() throws Exception {
    startUpstreams(HEAD_PREFIX);
    returnWith("/llm/crash");
    assertThat(countArrivals("/llm/crash"), is((long) CRASHES_ALLOWED));
  }

  /** The lines on boxes and heads name the id alone, and reports on a request join them by it. */
  @Test
  void theLineOnAnAttemptNamesTheUpstreamByItsId() throws Exception {
    upstream("i-7", CRASHING);
    call("/once/crash");
    assertThat(logged(), containsString("\"upstream\":\"i-7\",\"bornMs\":0,"));
  }

  @Test
  void anotherPathIsSentToUpstreamsAsBefore() throws Exception {
    startUpstreams("i-");
    returnWith("/again/crash");
    assertThat(call("/again/crash?other"), startsWith("HTTP/1.1 502"));
  }

  @Test
  void aReportOfAnotherProcessIsEnough() throws Exception {
    startUpstreams("i-");
    String path = "/again/crash";
    call(path);
    List<CrashReport> reports = new ArrayList<>();
    loop.submit(() -> reports.addAll(quarantine.reports())).sync();
    CrashReport own = reports.get(0);
    Crash elsewhere = new Crash(new Incarnation("i-elsewhere", 1), true);
    CrashReport told =
        new CrashReport(own.fingerprint(), List.of(elsewhere), Set.of(), own.idleMs());
    loop.submit(() -> quarantine.learn(List.of(told))).sync();
    assertThat(call(path), startsWith("HTTP/1.1 503"));
    assertThat(countArrivals(path), is(2L));
  }

  @Test
  void aCopyThatStillWaitsAtAnUpstreamIsTakenBack() throws Exception {
    CountDownLatch waiting = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    FakeUpstream upstream =
        upstream(
            "i-1",
            (head, out, socket) -> {
              waiting.countDown();
              try {
                socket.getInputStream().read();
              } finally {
                closed.countDown();
              }
              return false;
            });
    CompletableFuture<String> answer =
        CompletableFuture.supplyAsync(
            () -> {
              try {
                return call("/again/crash");
              } catch (IOException e) {
                throw new UncheckedIOException(e);
              }
            });
    assertThat(waiting.await(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
    RequestFingerprint same =
        RequestFingerprint.of("GET", "h.example", "/again/crash", "office", ByteBuffer.allocate(0));
    List<Crash> crashes = new ArrayList<>();
    for (int i = 0; i < CRASHES_ALLOWED; i++) {
      crashes.add(new Crash(new Incarnation("j-" + i, 1), true));
    }
    CrashReport told = new CrashReport(same, crashes, Set.of(), 0);
    loop.submit(() -> quarantine.learn(List.of(told))).sync();
    assertThat(answer.get(), startsWith("HTTP/1.1 502"));
    assertThat(closed.await(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
    assertThat(upstream.requestHeads().size(), is(1));
  }
}
