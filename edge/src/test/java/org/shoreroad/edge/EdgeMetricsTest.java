package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EdgeMetricsTest {
  private final EdgeMetrics metrics = new EdgeMetrics();

  @Test
  void countsBeforeAndAfterTheFirstScrapeAreExported() {
    metrics.count("shoreroad.refusals", "no_place");
    metrics.gauge("shoreroad.requests.open", () -> 3);
    assertThat(
        metrics.toPrometheusText(),
        containsString("shoreroad_refusals_total{reason=\"no_place\"} 1.0"));
    metrics.count("shoreroad.refusals", "no_place");
    metrics.count("shoreroad.refusals", "stopping");
    String text = metrics.toPrometheusText();
    assertThat(text, containsString("shoreroad_refusals_total{reason=\"no_place\"} 2.0"));
    assertThat(text, containsString("shoreroad_refusals_total{reason=\"stopping\"} 1.0"));
    assertThat(text, containsString("shoreroad_requests_open 3.0"));
  }

  @Test
  void latenciesAreCountedUpToEachBound() {
    metrics.record("shoreroad.answer", TimeUnit.MILLISECONDS.toNanos(50));
    metrics.record("shoreroad.answer", TimeUnit.MILLISECONDS.toNanos(250));
    metrics.record("shoreroad.answer", -1);
    String text = metrics.toPrometheusText();
    assertThat(text, containsString("shoreroad_answer_seconds_count 3"));
    assertThat(text, containsString("shoreroad_answer_seconds_sum 0.3"));
    assertThat(text, containsString("shoreroad_answer_upto_total{seconds=\"0.05\"} 2.0"));
    assertThat(text, containsString("shoreroad_answer_upto_total{seconds=\"0.3\"} 3.0"));
  }
}
