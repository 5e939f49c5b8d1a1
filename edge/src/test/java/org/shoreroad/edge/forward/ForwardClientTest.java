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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
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
    Map<String, String> addresses = new TreeMap<>();
    for (Behavior behavior : behaviors) {
      FakeProcess process = new FakeProcess(behavior);
      addresses.put("front-" + processes.size() + "~a", process.address());
      processes.add(process);
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
