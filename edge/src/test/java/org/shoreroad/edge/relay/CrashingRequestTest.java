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

/** A request that crashes each upstream that begins to run it must not reach more than three. */
class CrashingRequestTest extends LoopbackRelay {
  private static final int CALLS = 6;
  private static final int UPSTREAMS = 8;
  private static final int CRASHES_ALLOWED = 3;

  private final List<FakeUpstream> upstreams = new ArrayList<>();

  /** Closes the connection within the answer if the path contains "/crash", else answers. */
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

  private String callRepeatedly(String path) throws Exception {
    String answer = "";
    for (int i = 0; i < CALLS; i++) {
      answer = call(path);
    }
    return answer;
  }

  @Test
  void aRequestThatCrashesThreeUpstreamsIsNotSentToAFourth() throws Exception {
    startUpstreams("i-");
    String answer = callRepeatedly("/again/crash");
    assertThat(countArrivals("/again/crash"), lessThanOrEqualTo((long) CRASHES_ALLOWED));
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(answer.toLowerCase(), containsString("retry-after: "));
    assertThat(call("/again/other"), containsString("\r\n\r\nserved"));
    assertThat(countArrivals("/again/other"), is(1L));
  }

  @Test
  void crashesOfARequestThatMayRunOnlyOnceAreCountedOverTheRetriesOfItsCaller() throws Exception {
    startUpstreams("i-");
    callRepeatedly("/once/crash");
    assertThat(countArrivals("/once/crash"), is((long) CRASHES_ALLOWED));
  }

  /**
   * The crash that starts the quarantine ends all open copies of the request, including the one
   * that has just crashed its upstream. That one has run, so the answer must not be 503, which
   * promises that it has not.
   */
  @Test
  void anAttemptThatRanIsNotAnsweredWith503() throws Exception {
    startUpstreams("i-");
    for (int i = 0; i < CRASHES_ALLOWED; i++) {
      assertThat(call("/once/crash"), startsWith("HTTP/1.1 502"));
    }
    assertThat(call("/once/crash"), startsWith("HTTP/1.1 503"));
    assertThat(call("/again/crash"), startsWith("HTTP/1.1 502"));
    assertThat(call("/again/crash"), startsWith("HTTP/1.1 502"));
    assertThat(call("/again/crash"), startsWith("HTTP/1.1 503"));
  }

  /** It has no head before its whole answer, and is not known to have waited. */
  @Test
  void aPlainRequestThatCrashesThreeUpstreamsBeforeItsAnswerIsQuarantinedAtOnce() throws Exception {
    for (int i = 0; i < UPSTREAMS; i++) {
      upstreams.add(upstream("i-" + i, (head, out, socket) -> false));
    }
    callRepeatedly("/again/crash");
    assertThat(countArrivals("/again/crash"), is((long) CRASHES_ALLOWED));
    assertThat(logged(), containsString("\"by\":\"crash\""));
  }

  @Test
  void crashesOfAModelStreamAreCountedToo() throws Exception {
    startUpstreams(HEAD_PREFIX);
    callRepeatedly("/llm/crash");
    assertThat(countArrivals("/llm/crash"), is((long) CRASHES_ALLOWED));
  }

  /** Analyses of a request join its log lines with those of boxes and heads by the bare id. */
  @Test
  void theLogLineOfAnAttemptNamesTheUpstreamById() throws Exception {
    upstream("i-7", CRASHING);
    call("/once/crash");
    assertThat(logged(), containsString("\"upstream\":\"i-7\",\"bornMs\":0,"));
  }

  @Test
  void aRequestWithAnotherPathIsNotQuarantined() throws Exception {
    startUpstreams("i-");
    callRepeatedly("/again/crash");
    assertThat(call("/again/crash?other"), startsWith("HTTP/1.1 502"));
  }

  @Test
  void crashesReportedByAnotherProcessCount() throws Exception {
    startUpstreams("i-");
    String path = "/again/crash";
    call(path);
    List<CrashReport> reports = new ArrayList<>();
    loop.submit(() -> reports.addAll(quarantine.reports())).sync();
    CrashReport own = reports.get(0);
    Crash peerCrash = new Crash(new Incarnation("i-elsewhere", 1), true);
    CrashReport report =
        new CrashReport(own.fingerprint(), List.of(peerCrash), Set.of(), own.idleMs());
    loop.submit(() -> quarantine.applyReports(List.of(report))).sync();
    assertThat(call(path), startsWith("HTTP/1.1 503"));
    assertThat(countArrivals(path), is(2L));
  }

  @Test
  void anAttemptThatWaitsAtAnUpstreamIsCancelledByTheQuarantine() throws Exception {
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
    CrashReport report = new CrashReport(same, crashes, Set.of(), 0);
    loop.submit(() -> quarantine.applyReports(List.of(report))).sync();
    assertThat(answer.get(), startsWith("HTTP/1.1 502"));
    assertThat(closed.await(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS), is(true));
    assertThat(upstream.requestHeads().size(), is(1));
  }
}
