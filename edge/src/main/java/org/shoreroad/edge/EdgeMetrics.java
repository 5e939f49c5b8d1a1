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
import org.shoreroad.edge.sync.Topic;

/**
 * Counters, gauges and latency histograms of this process.
 *
 * <p>The values are plain numbers. The registry that exports them is created at the first scrape,
 * since loading its classes takes 60 of the 520 ms from the start until a process listens. Not
 * thread-safe: used on the event loop.
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

  /** Counts a record of the store whose processing failed. */
  void countFailedRecord(Topic topic) {
    count("shoreroad.records.failed", topic.code());
  }

  /** Counts a value of the configuration that is not used. */
  void countIgnoredValue(String code) {
    count("shoreroad.configuration.ignored_values", code);
  }

  /** Records a delay of the event loop, in nanoseconds. */
  void recordLoopDelay(long nanos) {
    record("shoreroad.loop.late", nanos);
  }

  /** Registers a gauge, whose value is read at each scrape. */
  public void gauge(String name, Supplier<Number> value) {
    gauges.put(name, value);
  }

  /** Returns all metrics in the Prometheus text format. */
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
