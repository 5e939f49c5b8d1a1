package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;

import org.junit.jupiter.api.Test;

/** Upstreams that turn a request away and ask for a time of rest. */
class RestingUpstreamTest extends LoopbackRelay {
  private static final int CALLS = 40;
  private static final int REST_MS = 3_000;

  /** A rest counts from this time after the refusal on. */
  private static final int HEARD_MS = 500;

  private static final int ALLOWED = 2;

  /** Turns each request away and asks for rest. */
  private static FakeUpstream.Script resting(String more) {
    return (head, out, socket) -> {
      write(
          out,
          "HTTP/1.1 503 No\r\nX-Attempt: a1\r\n"
              + more
              + "Retry-After: 3\r\nContent-Length: 0\r\n\r\n");
      return true;
    };
  }

  private static final FakeUpstream.Script NOT_RUN = resting("X-Not-Run: 1\r\n");

  private void callOften(String path) throws Exception {
    for (int i = 0; i < CALLS; i++) {
      call(path);
      advanceClock((REST_MS - HEARD_MS) / CALLS);
    }
  }

  /** Begins a rest, and returns how many requests came until then. */
  private int beginRest(FakeUpstream upstream, String path) throws Exception {
    while (upstream.requestHeads().isEmpty()) {
      call(path);
      advanceClock(HEARD_MS / CALLS);
    }
    advanceClock(HEARD_MS);
    return upstream.requestHeads().size();
  }

  private void checkRest(FakeUpstream resting, int before, String path) throws Exception {
    callOften(path);
    assertThat(resting.requestHeads().size() - before, lessThanOrEqualTo(ALLOWED));
  }

  @Test
  void anUpstreamAtRestGetsNothing() throws Exception {
    FakeUpstream resting = upstream("i-1", NOT_RUN);
    upstream("i-2", SERVING);
    int before = beginRest(resting, "/again/x");
    checkRest(resting, before, "/again/x");
  }

  @Test
  void aHeadAtRestGetsNothing() throws Exception {
    FakeUpstream resting = upstream(HEAD_PREFIX + "1", NOT_RUN);
    upstream(
        HEAD_PREFIX + "2",
        (head, out, socket) -> {
          write(out, "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n");
          return true;
        });
    int before = beginRest(resting, "/llm/x");
    checkRest(resting, before, "/llm/x");
  }

  /** A refusal may lack the mark that the request did not run; the rest counts all the same. */
  @Test
  void aRefusalThatPromisesNothingAsksForRestToo() throws Exception {
    FakeUpstream resting = upstream("i-1", resting("X-Seal: s\r\n"));
    upstream("i-2", SERVING);
    int before = beginRest(resting, "/again/x");
    checkRest(resting, before, "/again/x");
  }

  @Test
  void anUpstreamThatIsListedAnewStillRests() throws Exception {
    FakeUpstream resting = upstream("i-1", NOT_RUN);
    upstream("i-2", SERVING);
    int before = beginRest(resting, "/again/x");
    unlist("i-1");
    list("i-1", resting);
    checkRest(resting, before, "/again/x");
  }

  @Test
  void anUpstreamGetsRequestsAgainWhenItsRestIsOver() throws Exception {
    FakeUpstream resting = upstream("i-1", NOT_RUN);
    int before = beginRest(resting, "/again/x");
    advanceClock(REST_MS);
    call("/again/x");
    assertThat(resting.requestHeads().size(), is(before + 1));
  }

  @Test
  void whereAllRestARequestIsRefusedAtOnceAndMayReturn() throws Exception {
    FakeUpstream resting = upstream("i-1", NOT_RUN);
    int before = beginRest(resting, "/again/x");
    String answer = call("/again/x");
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(answer.toLowerCase(), containsString("x-shoreroad-reason: held_back"));
    assertThat(answer.toLowerCase(), containsString("retry-after: "));
    assertThat(resting.requestHeads().size(), is(before));
  }

  /** Date forms and other texts are no time: the upstream is passed over for a moment only. */
  @Test
  void aRestThatIsNoNumberIsPassedOver() throws Exception {
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
    advanceClock(HEARD_MS);
    call("/again/x");
    assertThat(refusing.requestHeads().size(), is(2));
  }
}
