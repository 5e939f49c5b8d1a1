package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.sync.Evacuations;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.traffic.CallerLimits;
import org.shoreroad.traffic.ColdStart;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/** Requests of one process while a zone is evacuated or an upstream is cold, over real sockets. */
class EvacuatedZoneTest extends LoopbackRelay {
  private static final String ZONE = "z";
  private static final int COLD_PER_SECOND = 10;

  /** One and a half times the rate and 5. */
  private static final int MOST_IN_SECOND = 20;

  private static final TrafficConfig COLD_CONFIG =
      TrafficConfig.of(
          1,
          List.of(),
          List.of(new UpstreamService("web", 100, null, new ColdStart(60, COLD_PER_SECOND))),
          null,
          CallerLimits.DEFAULT);

  private Evacuations evacuations;
  private ColdGate coldGate;

  @BeforeEach
  void connectGates() throws Exception {
    loop.submit(
            () -> {
              evacuations = new Evacuations(log);
              ZoneGate zoneGate = new ZoneGate(fleet, evacuations);
              coldGate =
                  new ColdGate("front-1", fleet, () -> COLD_CONFIG, clockNanos, log, metrics);
              coldGate.setSharers(Set.of("front-1"));
              table.setZoneGate(zoneGate);
              backpressure.setGates(coldGate, zoneGate);
            })
        .sync();
  }

  private void evacuate(long offset, boolean isRequested) throws Exception {
    loop.submit(() -> evacuations.applyRecord(ZONE, isRequested, StorePosition.of(1, offset)))
        .sync();
  }

  @Test
  void nothingIsSentToAnEvacuatedZone() throws Exception {
    FakeUpstream upstream = upstream("i-1", SERVING);
    assertThat(call("/again/x"), containsString("served"));
    evacuate(1, true);
    String answer = call("/again/x");
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(answer.toLowerCase(), containsString("x-shoreroad-reason: evacuated"));
    assertThat(upstream.requestHeads().size(), is(1));
    evacuate(2, false);
    assertThat(call("/again/x"), containsString("served"));
    assertThat(upstream.requestHeads().size(), is(2));
  }

  @Test
  void aStreamInProgressEndsThere() throws Exception {
    CountDownLatch hasBegun = new CountDownLatch(1);
    CountDownLatch mayEnd = new CountDownLatch(1);
    upstream(
        HEAD_PREFIX + "1",
        (head, out, socket) -> {
          write(out, STREAM_HEAD);
          writeChunk(out, FIRST_EVENT);
          hasBegun.countDown();
          try {
            mayEnd.await(5, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          writeChunk(out, "id: 2\ndata: last\n\n");
          write(out, "0\r\n\r\n");
          return true;
        });
    List<String> answers = Collections.synchronizedList(new ArrayList<>());
    Thread caller = new Thread(() -> answers.add(callUnchecked("/llm/x")));
    caller.start();
    assertThat(hasBegun.await(5, TimeUnit.SECONDS), is(true));
    evacuate(1, true);
    mayEnd.countDown();
    caller.join();
    assertThat(answers.get(0), containsString("data: last"));
  }

  private String callUnchecked(String path) {
    try {
      return call(path);
    } catch (java.io.IOException e) {
      return e.toString();
    }
  }

  /**
   * Many callers at once. The bound is that of the users; ColdUpstreamsSimulationTest checks the
   * exact rate on a virtual clock, since threads here may be scheduled late.
   */
  @Test
  void aColdUpstreamGetsNoMoreThanItBearsUnderLoad() throws Exception {
    List<Long> arrivals = Collections.synchronizedList(new ArrayList<>());
    upstream(
        "i-1",
        (head, out, socket) -> {
          arrivals.add(System.nanoTime());
          return SERVING.answer(head, out, socket);
        });
    loop.submit(() -> coldGate.recordEntry(new Incarnation("i-1", 0), 60_000)).sync();
    AtomicInteger refused = new AtomicInteger();
    List<Thread> callers = new ArrayList<>();
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(4);
    for (int i = 0; i < 8; i++) {
      Thread caller =
          new Thread(
              () -> {
                while (System.nanoTime() < endNanos) {
                  String answer = callUnchecked("/again/x").toLowerCase();
                  refused.addAndGet(answer.contains("x-shoreroad-reason: cold") ? 1 : 0);
                }
              });
      callers.add(caller);
      caller.start();
    }
    for (Thread caller : callers) {
      caller.join();
    }
    assertThat(maxInSecond(arrivals), lessThanOrEqualTo(MOST_IN_SECOND));
    assertThat("served: " + arrivals.size(), arrivals.size() > COLD_PER_SECOND, is(true));
    assertThat("refused: " + refused, refused.get() > 0, is(true));
  }

  private static int maxInSecond(List<Long> arrivals) {
    List<Long> sorted = arrivals.stream().sorted().toList();
    int max = 0;
    int first = 0;
    for (int last = 0; last < sorted.size(); last++) {
      while (sorted.get(last) - sorted.get(first) >= TimeUnit.SECONDS.toNanos(1)) {
        first++;
      }
      max = Math.max(max, last - first + 1);
    }
    return max;
  }
}
