package org.shoreroad.daemon.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.shoreroad.ErrorCode;
import org.shoreroad.Verdict;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;

/**
 * A registry of the counters, gauges and timers of a process, exported as Prometheus text.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class Metrics implements Service {
  /** The name of this service. */
  public static final String NAME = "metrics";

  private static final Duration MAX_EXPECTED_DURATION = Duration.ofMinutes(5);
  private static final Duration MIN_EXPECTED_DURATION = Duration.ofMillis(1);

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final ConcurrentHashMap<String, Counter> counters = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, Timer> timers = new ConcurrentHashMap<>();

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    // Registers each refusal code at zero, so that rates can be computed from the first refusal on.
    for (ErrorCode code : ErrorCode.values()) {
      refusal(code, Verdict.NOT_RUN, 0);
    }
  }

  @Override
  public void stop() {
    registry.close();
  }

  /** Counts one refusal or failure by code and verdict. */
  public void countRefusal(ErrorCode code, Verdict verdict) {
    refusal(code, verdict, 1);
  }

  /** Counts one retry by its reason. */
  public void countRetry(String reason) {
    count("shoreroad.retries", "reason", reason);
  }

  /** Increments a counter without a label. */
  public void count(String name) {
    counters.computeIfAbsent(name, n -> Counter.builder(n).register(registry)).increment();
  }

  /** Increments a counter with one label. */
  public void count(String name, String label, String value) {
    add(name, label, value, 1);
  }

  /** Adds an amount to a counter with one label. */
  public void add(String name, String label, String value, double amount) {
    counters
        .computeIfAbsent(
            name + "|" + value, n -> Counter.builder(name).tag(label, value).register(registry))
        .increment(amount);
  }

  /** Registers a gauge, whose value is read at each export. */
  public void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).strongReference(true).register(registry);
  }

  /** Records a duration in nanoseconds by request kind. */
  public void record(String name, String kind, long nanos) {
    timers
        .computeIfAbsent(
            name + "|" + kind,
            n ->
                Timer.builder(name)
                    .tag("kind", kind)
                    .publishPercentileHistogram()
                    .minimumExpectedValue(MIN_EXPECTED_DURATION)
                    .maximumExpectedValue(MAX_EXPECTED_DURATION)
                    .register(registry))
        .record(Duration.ofNanos(Math.max(0, nanos)));
  }

  /** Returns all metrics as Prometheus text. */
  public String toPrometheusText() {
    return registry.scrape();
  }

  private void refusal(ErrorCode code, Verdict verdict, double amount) {
    counters
        .computeIfAbsent(
            "refusals|" + code + "|" + verdict,
            n ->
                Counter.builder("shoreroad.refusals")
                    .tag("code", code.toString())
                    .tag("verdict", verdict.toString())
                    .register(registry))
        .increment(amount);
  }
}
