package org.shoreroad.edge;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.shoreroad.edge.relay.RelayCounters;

/**
 * Counters, gauges and latency histograms of this process. Used on the event loop only.
 *
 * @since 0.2
 */
public final class EdgeMetrics implements RelayCounters {
  private static final Duration[] BOUNDS = {
    Duration.ofMillis(50), Duration.ofMillis(100), Duration.ofMillis(200), Duration.ofMillis(300),
    Duration.ofMillis(500), Duration.ofSeconds(1), Duration.ofSeconds(2), Duration.ofSeconds(5)
  };

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<String, Counter> counters = new HashMap<>();
  private final Map<String, Timer> timers = new HashMap<>();

  @Override
  public void count(String name, String reason) {
    counters
        .computeIfAbsent(
            name + "|" + reason,
            key -> Counter.builder(name).tag("reason", reason).register(registry))
        .increment();
  }

  @Override
  public void record(String name, long nanos) {
    timers
        .computeIfAbsent(
            name, key -> Timer.builder(name).serviceLevelObjectives(BOUNDS).register(registry))
        .record(Math.max(0, nanos), TimeUnit.NANOSECONDS);
  }

  /** Registers a gauge that is read whenever the metrics are. */
  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(registry);
  }

  /** Returns all of it as Prometheus text. */
  public String toPrometheusText() {
    return registry.scrape();
  }
}
