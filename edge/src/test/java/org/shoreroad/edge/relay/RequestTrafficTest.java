package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.fleet.ModelTraffic;

/** Tests what a request counts for its model. */
class RequestTrafficTest extends LoopbackRelay {
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time of the counts, which stands still during a request. */
  private final AtomicLong countNanos = new AtomicLong(SECOND_NANOS);

  private final TrafficMeter meter = new TrafficMeter(countNanos::get, "z", new EdgeMetrics());

  private static FakeUpstream.Script streaming(int delayMs) {
    return (head, out, socket) -> {
      Thread.sleep(delayMs);
      write(out, STREAM_HEAD);
      writeChunk(out, FIRST_EVENT);
      write(out, "0\r\n\r\n");
      return true;
    };
  }

  @BeforeEach
  void count() {
    relay.setTraffic(meter);
  }

  private ModelTraffic counted() throws Exception {
    countNanos.addAndGet(SECOND_NANOS / 5);
    return loop.submit(() -> meter.total("llm", "m")).get();
  }

  private static ModelTraffic counts(int arrived, int refused, int late) {
    return new ModelTraffic("llm", "m", "z", arrived, refused, late, 7L * arrived);
  }

  private void callModel() throws Exception {
    call("/llm/", "secret", "X-Tokens: 7\r\n");
  }

  @Test
  void answeredRequestCountsAsArrived() throws Exception {
    upstream(HEAD_PREFIX + "1", streaming(0));
    callModel();
    assertThat(counted(), is(counts(1, 0, 0)));
  }

  @Test
  void requestWithoutReplicaCountsAsRefused() throws Exception {
    assertThat(call("/llm/", "secret", "X-Tokens: 7\r\n"), startsWith("HTTP/1.1 503"));
    assertThat(counted(), is(counts(1, 1, 0)));
  }

  @Test
  void refusalIsInTheMetricsOnce() throws Exception {
    callModel();
    String refusals =
        loop.submit(metrics::toPrometheusText)
            .get()
            .lines()
            .filter(line -> line.startsWith("shoreroad_refusals_total"))
            .collect(Collectors.joining());
    assertThat(refusals, endsWith(" 1.0"));
  }

  @Test
  void firstEventAfterTheTargetCountsAsLate() throws Exception {
    // The target of the route is 200 ms.
    upstream(HEAD_PREFIX + "1", streaming(400));
    callModel();
    assertThat(counted(), is(counts(1, 0, 1)));
  }

  @Test
  void requestsOfPlainServicesAndUnknownCallersDoNotCount() throws Exception {
    upstream("i-1", SERVING);
    call("/once/");
    call("/llm/", "wrong", "X-Tokens: 7\r\n");
    assertThat(counted(), is(counts(0, 0, 0)));
  }
}
