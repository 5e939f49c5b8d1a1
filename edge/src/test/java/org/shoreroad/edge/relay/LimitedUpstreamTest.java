package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.limit.LimitReport;
import org.shoreroad.limit.RequestLimit;

/** Requests of one process to upstreams that name a limit in their answers. */
class LimitedUpstreamTest extends LoopbackRelay {
  /** One request per 10,000 seconds: no second turn becomes due while a test runs. */
  private static final String ONE_PER_10000_S = "0.0001";

  private static FakeUpstream.Script naming(String limit) {
    return (head, out, socket) -> {
      write(out, wholeAnswer(head, "served").replace("X-Seal", "X-Limit: " + limit + "\r\nX-Seal"));
      return true;
    };
  }

  private void share(String... names) throws Exception {
    loop.submit(() -> backpressure.setSharers(Set.of(names))).sync();
  }

  @Test
  void anUpstreamAtItsLimitIsSkipped() throws Exception {
    share(SELF);
    FakeUpstream limited = upstream("i-1", naming(ONE_PER_10000_S));
    assertThat(call("/again/x"), containsString("served"));
    FakeUpstream other = upstream("i-2", naming("1000"));
    assertThat(call("/again/x"), containsString("served"));
    assertThat(limited.requestHeads().size(), is(1));
    assertThat(other.requestHeads().size(), is(1));
    assertThat(
        logged(),
        containsString(
            "\"event\":\"upstream_limit\",\"upstream\":\"i-1\",\"bornMs\":0,"
                + "\"perSecond\":\"1.0E-4\",\"by\":\"answer\""));
  }

  @Test
  void aRequestIsRefusedWithRetryAfterIfAllUpstreamsAreAtTheirLimits() throws Exception {
    share(SELF);
    FakeUpstream limited = upstream("i-1", naming(ONE_PER_10000_S));
    call("/again/x");
    String answer = call("/again/x");
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(answer.toLowerCase(), containsString("x-shoreroad-reason: held_back"));
    assertThat(answer.toLowerCase(), containsString("retry-after: "));
    assertThat(limited.requestHeads().size(), is(1));
  }

  @Test
  void aHeadAtItsLimitGetsNoRequests() throws Exception {
    share(SELF);
    FakeUpstream limited = upstream(HEAD_PREFIX + "1", naming(ONE_PER_10000_S));
    call("/llm/x");
    assertThat(call("/llm/x"), startsWith("HTTP/1.1 503"));
    assertThat(limited.requestHeads().size(), is(1));
  }

  @Test
  void aLimitReportedByAnotherProcessApplies() throws Exception {
    share(SELF);
    FakeUpstream limited = upstream("i-1", naming("1000"));
    LimitReport report = new LimitReport(new Incarnation("i-1", 0), new RequestLimit(0), 0);
    loop.submit(() -> backpressure.applyReports(List.of(report))).sync();
    assertThat(call("/again/x"), startsWith("HTTP/1.1 503"));
    assertThat(limited.requestHeads().size(), is(0));
  }

  @Test
  void aLimitInARefusalApplies() throws Exception {
    share(SELF);
    upstream(
        "i-1",
        (head, out, socket) -> {
          write(
              out,
              "HTTP/1.1 503 No\r\nX-Attempt: a1\r\nX-Not-Run: 1\r\nX-Limit: "
                  + ONE_PER_10000_S
                  + "\r\nContent-Length: 0\r\n\r\n");
          return true;
        });
    call("/once/x");
    assertThat(call("/once/x").toLowerCase(), containsString("held_back"));
  }

  @Test
  void aLimitThatIsNoNumberIsIgnored() throws Exception {
    share(SELF);
    FakeUpstream upstream = upstream("i-1", naming("soon"));
    for (int i = 0; i < 3; i++) {
      assertThat(call("/again/x"), containsString("served"));
    }
    assertThat(upstream.requestHeads().size(), is(3));
    assertThat(logged(), not(containsString("upstream_limit")));
  }

  /** Another upstream may have the address by now, so its answer must not change the limit. */
  @Test
  void anAnswerOfAnotherUpstreamDoesNotEndALimit() throws Exception {
    share(SELF);
    FakeUpstream limited =
        upstream(
            "i-1",
            (head, out, socket) -> {
              if (head.contains("/again/named")) {
                return naming("1000").answer(head, out, socket);
              }
              write(out, "HTTP/1.1 421 Elsewhere\r\nX-Attempt: a1\r\nContent-Length: 0\r\n\r\n");
              return true;
            });
    call("/again/named");
    advanceClock(1_000);
    call("/again/x");
    assertThat(limited.requestHeads().size(), is(2));
    assertThat(logged(), not(containsString("upstream_limit_ended")));
  }
}
