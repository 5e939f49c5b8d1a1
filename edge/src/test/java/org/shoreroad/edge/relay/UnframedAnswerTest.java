package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Answers with neither a length nor chunks end with their connection, as a crash does. */
class UnframedAnswerTest extends LoopbackRelay {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final int UPSTREAMS = 8;

  /** More than the socket buffers of an upstream that reads nothing take at once. */
  private static final int LONG_BODY_BYTES = 4_000_000;

  private static final int CALLS = 6;

  private static FakeUpstream.Script writing(String body) {
    return (head, out, socket) -> {
      write(out, HEAD + body);
      return false;
    };
  }

  private static FakeUpstream.Script resettingAfter(String body) {
    return (head, out, socket) -> {
      write(out, HEAD + body);
      Thread.sleep(50);
      socket.setSoLinger(true, 0);
      return false;
    };
  }

  @Test
  void plainAnswerIsForwardedWhole() throws Exception {
    upstream("i-1", writing("served"));
    String answer = call("/once/x");
    assertThat(answer, startsWith("HTTP/1.1 200"));
    assertThat(answer, endsWith("\r\n\r\nserved"));
    assertThat(answer.toLowerCase(), containsString("content-length: 6"));
  }

  @Test
  void plainAnswerThatIsResetIsNotForwarded() throws Exception {
    upstream("i-1", resettingAfter("served"));
    assertThat(call("/once/x"), startsWith("HTTP/1.1 502"));
  }

  /** Returns a script that resets the connection once the caller has received the body. */
  private static FakeUpstream.Script resettingOnceReceived(String body, CountDownLatch received) {
    return (head, out, socket) -> {
      write(out, HEAD + body);
      received.await(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
      socket.setSoLinger(true, 0);
      return false;
    };
  }

  /** Resets the connection while a part of the request waits to be written. */
  private FakeUpstream resettingUnreadAfter(String id, String body) throws Exception {
    return add(id, FakeUpstream.ofUnreadBodies(resettingAfter(body)));
  }

  private String callWithLongBody(String path) throws Exception {
    return callWithLongBody(path, answer -> {});
  }

  /**
   * Sends a request with a long body.
   *
   * @param listener called with all that was received, after each read
   */
  private String callWithLongBody(String path, Consumer<String> listener) throws Exception {
    try (Socket socket = connect()) {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      write(
          socket.getOutputStream(),
          "POST "
              + path
              + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt: a1\r\nX-Deadline: 1500\r\n"
              + "X-Model: m\r\nAuthorization: Bearer secret\r\nConnection: close\r\n"
              + "Content-Length: "
              + LONG_BODY_BYTES
              + "\r\n\r\n"
              + "x".repeat(LONG_BODY_BYTES));
      StringBuilder answer = new StringBuilder();
      for (int next = socket.getInputStream().read();
          next >= 0;
          next = socket.getInputStream().read()) {
        answer.append((char) next);
        listener.accept(answer.toString());
      }
      return answer.toString();
    }
  }

  @Test
  void plainAnswerThatIsResetWhileItsRequestIsWrittenIsNotForwarded() throws Exception {
    resettingUnreadAfter("i-1", "half");
    String answer = callWithLongBody("/once/x");
    assertThat(answer, startsWith("HTTP/1.1 502"));
    assertThat(answer, not(containsString("half")));
  }

  @Test
  void requestWhoseAnswerIsResetWhileItIsWrittenIsRepeated() throws Exception {
    FakeUpstream resetting = resettingUnreadAfter("i-1", "half");
    upstream("i-2", SERVING);
    for (int i = 0; i < CALLS && resetting.requestHeads().isEmpty(); i++) {
      assertThat(callWithLongBody("/again/x"), endsWith("\r\n\r\nserved"));
    }
    assertThat(resetting.requestHeads().size(), is(1));
  }

  @Test
  void streamThatIsResetWhileItsRequestIsWrittenIsNotComplete() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    FakeUpstream.Script script = resettingOnceReceived(FIRST_EVENT, received);
    add(HEAD_PREFIX + 1, FakeUpstream.ofUnreadBodies(script));
    Consumer<String> listener =
        answer -> {
          if (answer.contains("data: a")) {
            received.countDown();
          }
        };
    String answer = callWithLongBody("/llm/x", listener);
    assertThat("the event was received before the reset", received.getCount(), is(0L));
    assertThat(answer, containsString("data: a"));
    assertThat(answer, not(endsWith(LAST_CHUNK)));
  }

  @Test
  void streamThatEndsAfterAnEventIsComplete() throws Exception {
    upstream(HEAD_PREFIX + 1, writing(FIRST_EVENT + "id: 2\ndata: b\n\n"));
    String answer = call("/llm/x");
    assertThat(answer, containsString("data: b"));
    assertThat(answer, endsWith(LAST_CHUNK));
  }

  @Test
  void streamThatEndsInsideAnEventIsNotComplete() throws Exception {
    upstream(HEAD_PREFIX + 1, writing(FIRST_EVENT + "id: 2\nda"));
    String answer = call("/llm/x");
    assertThat(answer, containsString("data: a"));
    assertThat(answer, not(containsString("id: 2")));
    assertThat(answer, not(endsWith(LAST_CHUNK)));
  }

  @Test
  void streamThatIsResetAfterAnEventIsNotComplete() throws Exception {
    upstream(HEAD_PREFIX + 1, resettingAfter(FIRST_EVENT));
    assertThat(call("/llm/x"), not(endsWith(LAST_CHUNK)));
  }

  @Test
  void streamsThatEndInsideAnEventCountAsCrashes() throws Exception {
    List<FakeUpstream> upstreams = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      upstreams.add(upstream(HEAD_PREFIX + i, writing(FIRST_EVENT + "id: 2\nda")));
    }
    for (int i = 0; i < CALLS; i++) {
      call("/llm/x");
    }
    int arrivals = upstreams.stream().mapToInt(one -> one.requestHeads().size()).sum();
    assertThat(arrivals, is(lessThanOrEqualTo(3)));
  }

  /** A crash right after an event looks like the end of such an answer. */
  @Test
  void streamThatEndsAfterAnEventIsNoEvidenceAgainstCrashes() throws Exception {
    FakeUpstream.Script script =
        (head, out, socket) -> {
          boolean isFirst = head.contains("X-Parts: first");
          write(out, HEAD + (isFirst ? FIRST_EVENT : FIRST_EVENT + "id: 2\nda"));
          return false;
        };
    for (int i = 0; i < UPSTREAMS; i++) {
      upstream(HEAD_PREFIX + i, script);
    }
    call("/llm/1", "secret", "X-Parts: bad:1,own1:2\r\n");
    call("/llm/2", "secret", "X-Parts: first:1,bad:1,own2:2\r\n");
    Thread.sleep(150);
    call("/llm/3", "secret", "X-Parts: bad:1,own3:2\r\n");
    Thread.sleep(150);
    call("/llm/4", "secret", "X-Parts: bad:1,own4:2\r\n");
    Thread.sleep(400);
    String refused = call("/llm/5", "secret", "X-Parts: bad:1,own5:2\r\n");
    assertThat(refused, startsWith("HTTP/1.1 503"));
    assertThat(refused, containsString("part_quarantined"));
  }
}
