package org.shoreroad.edge.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.forward.FakeProcess.Behavior;
import org.shoreroad.edge.http.CallFailure;
import org.shoreroad.edge.http.CallListener;
import org.shoreroad.fleet.FleetBox;

class ForwardClientTest {
  private static final int CALLS = 10;
  private static final int WAIT_MS = 5_000;

  /** Two processes may be tried in turn, each for 0.3 s. */
  private static final long MAX_PROBE_MS = 1_500;

  private static final FleetBox BOX =
      new FleetBox("web-1", "web", "127.0.0.1:1", "z", 6, false, null, null, List.of(), null);

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final EventLog log = new EventLog("t", System::nanoTime, OutputStream.nullOutputStream());
  private final List<FakeProcess> processes = new ArrayList<>();
  private ForwardClient client;

  private void start(Behavior... behaviors) throws Exception {
    for (Behavior behavior : behaviors) {
      processes.add(new FakeProcess(behavior));
    }
    startClient();
  }

  /** Starts one process that answers each call with the messages for its number. */
  private void startAnswering(LongFunction<List<ForwardMessage>> answer) throws Exception {
    processes.add(new FakeProcess(answer));
    startClient();
  }

  private void startClient() throws Exception {
    Map<String, String> addresses = new TreeMap<>();
    for (int i = 0; i < processes.size(); i++) {
      addresses.put("front-" + i + "~a", processes.get(i).address());
    }
    client =
        new ForwardClient(
            loop,
            System::nanoTime,
            new SplittableRandom(1),
            log,
            new EdgeMetrics(),
            () -> addresses);
    loop.submit(client::start).sync();
  }

  @AfterEach
  void stop() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    for (FakeProcess process : processes) {
      process.close();
    }
  }

  /** Result of one call: the failure is null if it was answered. */
  private static final class Result implements CallListener {
    private final CompletableFuture<String> end = new CompletableFuture<>();

    @Override
    public boolean onHead(HttpResponse head) {
      return true;
    }

    @Override
    public void onContent(ByteBuf content) {
      // The answers have no body.
    }

    @Override
    public void onEnd() {
      end.complete("answered");
    }

    @Override
    public void onFailure(CallFailure failure) {
      end.complete(failure.reason().code() + (failure.isSent() ? " sent" : " not sent"));
    }
  }

  private String call() throws Exception {
    Result result = new Result();
    loop.execute(
        () ->
            client.send(
                BOX,
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                10,
                result));
    return result.end.get(WAIT_MS, TimeUnit.MILLISECONDS);
  }

  private void checkAllAnsweredBySecondProcess() throws Exception {
    for (int i = 0; i < CALLS; i++) {
      assertThat(call(), is("answered"));
    }
    assertThat("calls that the first received", processes.get(0).callCount(), is(0));
    assertThat("calls that the second received", processes.get(1).callCount(), is(CALLS));
  }

  @Test
  void callsOfSuspendedProcessGoToAnotherOneAndRunOnce() throws Exception {
    start(Behavior.SUSPENDED, Behavior.ANSWERS);
    checkAllAnsweredBySecondProcess();
  }

  @Test
  void callsThatEarlierReleaseCannotReadGoToAnotherProcessAndRunOnce() throws Exception {
    start(Behavior.EARLIER_RELEASE, Behavior.ANSWERS);
    checkAllAnsweredBySecondProcess();
  }

  @Test
  void callsGoToProcessWithPath() throws Exception {
    start(Behavior.WITHOUT_PATH, Behavior.ANSWERS);
    for (int i = 0; i < CALLS; i++) {
      assertThat(call(), is("answered"));
    }
    assertThat(processes.get(1).callCount(), is(CALLS));
  }

  @Test
  void callWithoutAnyPathFailsUnsent() throws Exception {
    start(Behavior.WITHOUT_PATH, Behavior.WITHOUT_PATH);
    assertThat(call(), is("path_lost not sent"));
    assertThat(loop.submit(() -> client.hasForwarder("web")).get(), is(false));
  }

  @Test
  void callThatOnlySuspendedProcessCouldSendFailsUnsentAndOthersAtOnce() throws Exception {
    start(Behavior.SUSPENDED);
    assertThat(call(), is("path_lost not sent"));
    assertThat(loop.submit(() -> client.hasForwarder("web")).get(), is(false));
  }

  @Test
  void callOfProcessThatEndsMayHaveBeenSent() throws Exception {
    start(Behavior.ENDS_AT_CALL);
    assertThat(call(), is("forwarder_lost sent"));
  }

  /** An earlier release passes on heads that are no answers. */
  @ParameterizedTest
  @CsvSource({
    "0, OK, X-A, 1",
    "-200, OK, X-A, 1",
    "20, OK, X-A, 1",
    "100, Continue, X-A, 1",
    "101, Switching, X-A, 1",
    "600, OK, X-A, 1",
    "200, 'O\0K', X-A, 1",
    "200, 'O\nK', X-A, 1",
    "200, OK, 'X-A b', 1",
    "200, OK, 'X-A\0', 1",
    "200, OK, '', 1",
    "200, OK, X-A, 'a\r\nX-B: 1'",
    "200, OK, X-A, 'a\0'"
  })
  void malformedHeadFromAnotherProcessIsNoAnswer(
      int status, String reason, String name, String value) throws Exception {
    startAnswering(
        number ->
            List.of(
                new ForwardMessage.Head(number, status, reason, List.of(name, value)),
                new ForwardMessage.End(number)));
    assertThat(call(), is("malformed sent"));
  }

  @Test
  void namesWithoutValueFromAnotherProcessAreNoAnswer() throws Exception {
    startAnswering(
        number -> List.of(new ForwardMessage.Head(number, 200, "OK", List.of("X-A", "1", "X-B"))));
    assertThat(call(), is("malformed sent"));
  }

  @Test
  void bodyBeforeItsHeadFromAnotherProcessIsNoAnswer() throws Exception {
    startAnswering(
        number ->
            List.of(
                new ForwardMessage.Content(number, new byte[1]),
                new ForwardMessage.Head(number, 200, "OK", List.of()),
                new ForwardMessage.End(number)));
    assertThat(call(), is("malformed sent"));
  }

  @Test
  void endBeforeItsHeadFromAnotherProcessIsNoAnswer() throws Exception {
    startAnswering(number -> List.of(new ForwardMessage.End(number)));
    assertThat(call(), is("malformed sent"));
  }

  @Test
  void secondHeadFromAnotherProcessIsNoAnswer() throws Exception {
    startAnswering(
        number ->
            List.of(
                new ForwardMessage.Head(number, 200, "OK", List.of()),
                new ForwardMessage.Head(number, 200, "OK", List.of()),
                new ForwardMessage.End(number)));
    assertThat(call(), is("malformed sent"));
  }

  @Test
  void unusualHeadFromAnotherProcessIsAnAnswer() throws Exception {
    startAnswering(
        number ->
            List.of(
                new ForwardMessage.Head(number, 599, "", List.of("x-a", "", "1", "caf\u00e9 \t.")),
                new ForwardMessage.End(number)));
    assertThat(call(), is("answered"));
  }

  @Test
  void probeOfSuspendedProcessEnds() throws Exception {
    start(Behavior.SUSPENDED);
    CompletableFuture<ProbeOutcome> outcome = new CompletableFuture<>();
    long startNanos = System.nanoTime();
    loop.execute(() -> client.probe(BOX, outcome::complete));
    assertThat(outcome.get(WAIT_MS, TimeUnit.MILLISECONDS), is(ProbeOutcome.UNABLE));
    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    assertThat(tookMs, lessThanOrEqualTo(MAX_PROBE_MS));
  }

  @Test
  void probeOfOtherProcessReturnsItsOutcome() throws Exception {
    start(Behavior.ANSWERS);
    CompletableFuture<ProbeOutcome> outcome = new CompletableFuture<>();
    loop.execute(() -> client.probe(BOX, outcome::complete));
    assertThat(outcome.get(WAIT_MS, TimeUnit.MILLISECONDS), is(ProbeOutcome.REFUSED));
  }
}
