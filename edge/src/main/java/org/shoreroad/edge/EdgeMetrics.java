package org.shoreroad.edge;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.relay.RelayCounters;

/**
 * Counters, gauges and latency histograms of this process.
 *
 * <p>They are kept as plain numbers; the registry that serves them is made at the first request for
 * them, since its classes take 60 of 520 ms until a process listens. Used on the event loop only.
 *
 * @since 0.2
 */
public final class EdgeMetrics implements RelayCounters {
  private final Map<String, Count> counts = new HashMap<>();
  private final Map<String, LatencyHistogram> histograms = new HashMap<>();
  private final Map<String, Supplier<Number>> gauges = new HashMap<>();
  private final Set<String> registered = new HashSet<>();
  private @Nullable PrometheusMeterRegistry registry;

  /** A counter of events with one reason. */
  private static final class Count {
    private final String name;
    private final String reason;
    private long value;

    Count(String name, String reason) {
      this.name = name;
      this.reason = reason;
    }
  }

  @Override
  public void count(String name, String reason) {
    counts.computeIfAbsent(name + "|" + reason, key -> new Count(name, reason)).value++;
  }

  @Override
  public void record(String name, long nanos) {
    histograms.computeIfAbsent(name, key -> new LatencyHistogram()).record(nanos);
  }

  /** Registers a gauge that is read whenever the metrics are. */
  public void gauge(String name, Supplier<Number> value) {
    gauges.put(name, value);
  }

  /** Returns all of it as Prometheus text. */
  public String toPrometheusText() {
    PrometheusMeterRegistry current = registry;
    if (current == null) {
      current = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      registry = current;
    }
    registerNew(current);
    return current.scrape();
  }

  private void registerNew(PrometheusMeterRegistry current) {
    counts.forEach(
        (key, count) -> {
          if (registered.add(key)) {
            FunctionCounter.builder(count.name, count, c -> c.value)
                .tag("reason", count.reason)
                .register(current);
          }
        });
    histograms.forEach(
        (name, histogram) -> {
          if (registered.add(name)) {
            histogram.register(name, current);
          }
        });
    gauges.forEach(
        (name, value) -> {
          if (registered.add(name)) {
            Gauge.builder(name, value).strongReference(true).register(current);
          }
        });
  }
}
