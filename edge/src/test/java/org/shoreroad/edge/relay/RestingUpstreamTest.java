package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import org.junit.jupiter.api.Test;

/** Upstreams that reject a request with Retry-After, which demands a rest without requests. */
class RestingUpstreamTest extends LoopbackRelay {
  private static final int CALLS = 40;
  private static final int REST_MS = 3_000;

  /** Time after the refusal from which on the rest must be kept. */
  private static final int REST_START_MS = 500;

  private static final int MAX_REQUESTS_IN_REST = 2;

  /** Rejects each request and demands a rest of 3 s. */
  private static FakeUpstream.Script resting(String extraHeaders) {
    return (head, out, socket) -> {
      write(
          out,
          "HTTP/1.1 503 No\r\nX-Attempt: a1\r\n"
              + extraHeaders
              + "Retry-After: 3\r\nContent-Length: 0\r\n\r\n");
      return true;
    };
  }

  private static final FakeUpstream.Script NOT_RUN = resting("X-Not-Run: 1\r\n");

  private void callOften(String path) throws Exception {
    for (int i = 0; i < CALLS; i++) {
      call(path);
      advanceClock((REST_MS - REST_START_MS) / CALLS);
    }
  }

  /** Calls until the rest is in force; returns the number of requests received until then. */
  private int beginRest(FakeUpstream upstream, String path) throws Exception {
    while (upstream.requestHeads().isEmpty()) {
      call(path);
      advanceClock(REST_START_MS / CALLS);
    }
    advanceClock(REST_START_MS);
    return upstream.requestHeads().size();
  }

  private void assertRestKept(FakeUpstream resting, int before, String path) throws Exception {
    callOften(path);
    assertThat(resting.requestHeads().size() - before, lessThanOrEqualTo(MAX_REQUESTS_IN_REST));
  }

  @Test
  void anUpstreamInARestGetsNoRequests() throws Exception {
    FakeUpstream resting = upstream("i-1", NOT_RUN);
    upstream("i-2", SERVING);
    int before = beginRest(resting, "/again/x");
    assertRestKept(resting, before, "/again/x");
  }

  @Test
  void aHeadInARestGetsNoRequests() throws Exception {
    FakeUpstream resting = upstream(HEAD_PREFIX + "1", NOT_RUN);
    upstream(
        HEAD_PREFIX + "2",
        (head, out, socket) -> {
          write(out, "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n");
          return true;
        });
    int before = beginRest(resting, "/llm/x");
    assertRestKept(resting, before, "/llm/x");
  }

  /** A refusal may lack the header that says the request did not run; its rest still applies. */
  @Test
  void aRefusalWithoutTheNotRunHeaderStartsARest() throws Exception {
    FakeUpstream resting = upstream("i-1", resting("X-Seal: s\r\n"));
    upstream("i-2", SERVING);
    int before = beginRest(resting, "/again/x");
    assertRestKept(resting, before, "/again/x");
  }

  @Test
  void aRestContinuesWhenTheUpstreamIsListedAgain() throws Exception {
    FakeUpstream resting = upstream("i-1", NOT_RUN);
    upstream("i-2", SERVING);
    int before = beginRest(resting, "/again/x");
    unlist("i-1");
    list("i-1", resting);
    assertRestKept(resting, before, "/again/x");
  }

  @Test
  void anUpstreamGetsRequestsAgainAfterItsRest() throws Exception {
    FakeUpstream resting = upstream("i-1", NOT_RUN);
    int before = beginRest(resting, "/again/x");
    advanceClock(REST_MS);
    call("/again/x");
    assertThat(resting.requestHeads().size(), is(before + 1));
  }

  @Test
  void aRequestIsRefusedAtOnceWithRetryAfterIfAllUpstreamsAreInARest() throws Exception {
    FakeUpstream resting = upstream("i-1", NOT_RUN);
    int before = beginRest(resting, "/again/x");
    String answer = call("/again/x");
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(answer.toLowerCase(), containsString("x-shoreroad-reason: held_back"));
    assertThat(answer.toLowerCase(), containsString("retry-after: "));
    assertThat(resting.requestHeads().size(), is(before));
  }

  /** Dates and other texts are not supported: the upstream is avoided only for a moment. */
  @Test
  void aRetryAfterThatIsNoNumberStartsNoRest() throws Exception {
    FakeUpstream refusing =
        upstream(
            "i-1",
            (head, out, socket) -> {
              write(
                  out,
                  "HTTP/1.1 503 No\r\nX-Attempt: a1\r\nX-Not-Run: 1\r\n"
                      + "Retry-After: soon\r\nContent-Length: 0\r\n\r\n");
              return true;
            });
    call("/again/x");
    advanceClock(REST_START_MS);
    call("/again/x");
    assertThat(refusing.requestHeads().size(), is(2));
  }
}
