package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.matchesPattern;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the relay over real sockets on loopback, with upstreams that fail in different ways. */
class RelayTest extends LoopbackRelay {
  @Test
  void aWholeAnswerIsForwardedWithItsSealAndTheAccountIsSet() throws Exception {
    FakeUpstream upstream =
        upstream(
            "i-1",
            (head, out, socket) -> {
              write(out, wholeAnswer(head, "hello"));
              return true;
            });
    String answer = call("/once/x?y=1");
    assertThat(answer, startsWith("HTTP/1.1 200"));
    assertThat(answer, containsString("X-Seal: s"));
    assertThat(answer, containsString("\r\n\r\nhello"));
    String head = upstream.requestHeads().get(0);
    assertThat(head, startsWith("GET /once/x?y=1 HTTP/1.1"));
    assertThat(FakeUpstream.header(head, "X-Account"), is("office"));
    assertThat(FakeUpstream.header(head, "X-Expect"), is("i-1"));
    assertThat(FakeUpstream.header(head, "Authorization"), is(""));
    assertThat(Integer.parseInt(FakeUpstream.header(head, "X-Deadline")) <= 1_500, is(true));
  }

  @Test
  void anAnswerToAnotherRequestIsIgnored() throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          write(
              out,
              "HTTP/1.1 200 OK\r\nX-Attempt: old\r\nX-Seal: o\r\nContent-Length: 3\r\n\r\nold");
          write(out, wholeAnswer(head, "mine"));
          return true;
        });
    assertThat(call("/once/"), containsString("\r\n\r\nmine"));
  }

  @Test
  void aSuccessWithoutSealIsNotForwarded() throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          write(out, "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nContent-Length: 2\r\n\r\nno");
          return true;
        });
    assertThat(call("/once/"), startsWith("HTTP/1.1 502"));
  }

  @Test
  void anIncompleteAnswerIsNotForwarded() throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          write(
              out,
              "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf");
          return false;
        });
    assertThat(call("/once/"), startsWith("HTTP/1.1 502"));
  }

  @Test
  void aRequestThatMayHaveRunIsNotSentAgain() throws Exception {
    FakeUpstream.Script reset =
        (head, out, socket) -> {
          socket.setSoLinger(true, 0);
          return false;
        };
    FakeUpstream one = upstream("i-1", reset);
    FakeUpstream two = upstream("i-2", reset);
    assertThat(call("/once/"), startsWith("HTTP/1.1 502"));
    assertThat(one.requestHeads().size() + two.requestHeads().size(), is(1));
  }

  @Test
  void aRepeatableRequestIsSentToAnotherUpstream() throws Exception {
    List<String> order = new ArrayList<>();
    FakeUpstream.Script firstFails =
        (head, out, socket) -> {
          synchronized (order) {
            order.add("call");
            if (order.size() == 1) {
              return false;
            }
          }
          write(out, wholeAnswer(head, "second"));
          return true;
        };
    upstream("i-1", firstFails);
    upstream("i-2", firstFails);
    assertThat(call("/again/"), containsString("\r\n\r\nsecond"));
    assertThat(order.size(), is(2));
  }

  @Test
  void aRequestThatDidNotRunIsRefusedWithRetryAfter() throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          write(out, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
          return true;
        });
    String answer = call("/once/");
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(answer.toLowerCase(), containsString("retry-after: 0."));
  }

  @Test
  void aBrokenStreamIsResumedAtAnotherUpstreamAfterItsLastCompleteEvent() throws Exception {
    List<String> lastIds = new ArrayList<>();
    FakeUpstream.Script script =
        (head, out, socket) -> {
          String lastId = FakeUpstream.header(head, "Last-Event-Id");
          synchronized (lastIds) {
            lastIds.add(lastId);
          }
          boolean isFirst = lastId.isEmpty();
          write(
              out,
              "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: "
                  + (isFirst ? "first" : "second")
                  + "\r\nTransfer-Encoding: chunked\r\n\r\n");
          String events = isFirst ? "id: 1\ndata: a\n\nid: 2\nda" : "id: 2\ndata: b\n\n";
          write(out, Integer.toHexString(events.length()) + "\r\n" + events + "\r\n");
          if (isFirst) {
            return false;
          }
          write(out, "0\r\n\r\n");
          return true;
        };
    upstream("i-1", script);
    upstream("i-2", script);
    String answer = call("/stream/");
    assertThat(answer, containsString("X-Seal: first"));
    assertThat(answer, not(containsString("second")));
    assertThat(answer, containsString("id: 1\ndata: a\n\n"));
    assertThat(answer, containsString("id: 2\ndata: b\n\n"));
    assertThat(answer, containsString("0\r\n\r\n"));
    assertThat(lastIds, is(List.of("", "1")));
  }

  @Test
  void aStreamThatCannotBeResumedDoesNotEndAsComplete() throws Exception {
    upstream("i-1", BREAKS_OFF_MIDWAY);
    String answer = call("/stream/");
    assertThat(answer, containsString("id: 1"));
    assertThat(answer, not(containsString("0\r\n\r\n")));
  }

  @Test
  void unknownPathsAndKeysAreRefused() throws Exception {
    upstream("i-1", (head, out, socket) -> true);
    assertThat(call("/nowhere/"), startsWith("HTTP/1.1 404"));
    assertThat(call("/once/", "wrong", ""), startsWith("HTTP/1.1 401"));
  }

  @Test
  void requestsAreRefusedWhileTheKeysAreOutdated() throws Exception {
    FakeUpstream upstream = upstream("i-1", (head, out, socket) -> true);
    configurationSource.mayTrustKeys = false;
    String answer = call("/once/");
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(answer.toLowerCase(), containsString("retry-after"));
    assertThat(upstream.requestHeads().isEmpty(), is(true));
  }

  @Test
  void anUnknownKeyIsNotRejectedWhileTheConfigurationIsUnproved() throws Exception {
    configurationSource.isProved = false;
    assertThat(call("/once/", "wrong", ""), startsWith("HTTP/1.1 503"));
  }

  @Test
  void aStoppingProcessRefusesNewRequests() throws Exception {
    FakeUpstream upstream = upstream("i-1", (head, out, socket) -> true);
    loop.submit(relay::refuseNew).sync();
    assertThat(call("/once/"), startsWith("HTTP/1.1 503"));
    assertThat(upstream.requestHeads().isEmpty(), is(true));
  }

  @Test
  void aRefusalWithoutAnyUpstreamHasRetryAfter() throws Exception {
    String answer = call("/once/");
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(
        answer.toLowerCase(), matchesPattern("(?s).*retry-after: (0\\.[7-9]|1\\.0)[0-9]*\r.*"));
  }

  @Test
  void aSilentUpstreamLeadsToATimeoutAnswerAtTheDeadline() throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          Thread.sleep(READ_TIMEOUT_MS);
          return false;
        });
    assertThat(call("/once/"), startsWith("HTTP/1.1 504"));
  }

  @Test
  void badInputIsRefusedAndTheConnectionClosed() throws Exception {
    assertThat(
        call("/once/", "secret", "Content-Length: 1\r\nContent-Length: 2\r\n"),
        startsWith("HTTP/1.1 400"));
    assertThat(
        call("/once/", "secret", "X-Long: " + "x".repeat(20_000) + "\r\n"),
        startsWith("HTTP/1.1 431"));
    assertThat(
        call("/once/", "secret", "Content-Length: 99999999\r\n"), startsWith("HTTP/1.1 413"));
  }
}
