package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.caller.HeldBytesRule;

/** Tests streams whose caller does not read. */
class UnreadAnswerTest extends LoopbackRelay {
  private static final int MAX_UNREAD_MS = 750;
  private static final int WAIT_MS = 5_000;
  private static final int EVENT_BYTES = 10_000;
  private static final int EVENTS = 1_000;
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  private final CompletableFuture<Integer> cutAt = new CompletableFuture<>();
  private final CountDownLatch mayBreakOff = new CountDownLatch(1);

  @Override
  HeldBytesRule heldBytesRule() {
    return new HeldBytesRule(HeldBytesRule.MIN_BYTES * 16, MAX_UNREAD_MS);
  }

  private static String event(int id) {
    return "id: " + id + "\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n";
  }

  /** Sends large events from the one after the last that the caller has, until it is cut off. */
  private boolean sendEvents(String head, OutputStream out) throws IOException {
    String last = FakeUpstream.header(head, "Last-Event-Id");
    int id = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
    write(out, STREAM_HEAD);
    try {
      for (; id <= EVENTS; id++) {
        writeChunk(out, event(id));
      }
      write(out, "0\r\n\r\n");
      return true;
    } catch (IOException e) {
      cutAt.complete(id);
      return false;
    }
  }

  private Socket open() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(address());
    socket.setSoTimeout(READ_TIMEOUT_MS);
    write(
        socket.getOutputStream(),
        "GET /llm/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt: a1\r\nX-Deadline: 60000\r\n"
            + "X-Model: m\r\nAuthorization: Bearer secret\r\nConnection: close\r\n\r\n");
    return socket;
  }

  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  private int openCount() {
    return loop.submit(() -> relay.openCount()).syncUninterruptibly().getNow();
  }

  private static void waitFor(BooleanSupplier condition) throws Exception {
    for (int i = 0; i < WAIT_MS / 10 && !condition.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertThat(condition.getAsBoolean(), is(true));
  }

  @Test
  void theUpstreamIsCancelledWhenItsCallerReadsNothing() throws Exception {
    upstream(HEAD_PREFIX + "1", (head, out, socket) -> sendEvents(head, out));
    try (Socket caller = open()) {
      waitFor(() -> openCount() == 1);
      waitFor(() -> openCount() == 0);
      assertThat(endedCount(RequestEnd.CALLER_GONE), is(1L));
      cutAt.get(WAIT_MS, TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void anUpstreamWhoseAnswerIsNotReadIsNotTakenForStalled() throws Exception {
    FakeUpstream one = upstream(HEAD_PREFIX + "1", (head, out, socket) -> sendEvents(head, out));
    FakeUpstream two = upstream(HEAD_PREFIX + "2", (head, out, socket) -> sendEvents(head, out));
    try (Socket caller = open()) {
      waitFor(() -> openCount() == 1);
      waitFor(() -> openCount() == 0);
    }
    assertThat(one.requestHeads().size() + two.requestHeads().size(), is(1));
    assertThat(logged(), not(containsString("replica_suspected")));
  }

  @Test
  void otherStreamsOfTheUpstreamAreNotDelayed() throws Exception {
    upstream(
        HEAD_PREFIX + "1",
        (head, out, socket) -> {
          if (!head.startsWith("GET /llm/quick ")) {
            return sendEvents(head, out);
          }
          write(out, STREAM_HEAD);
          writeChunk(out, FIRST_EVENT);
          write(out, "0\r\n\r\n");
          return true;
        });
    try (Socket caller = open()) {
      waitFor(() -> openCount() == 1);
      for (int i = 0; i < 20; i++) {
        assertThat(call("/llm/quick"), containsString(FIRST_EVENT));
      }
      // The other one is cut since it isn't read.
      cutAt.get(WAIT_MS, TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void aStreamThatWasCutWhileItsCallerPausedGoesOnElsewhere() throws Exception {
    FakeUpstream.Script script =
        (head, out, socket) -> {
          if (!FakeUpstream.header(head, "Last-Event-Id").isEmpty()) {
            return sendEvents(head, out);
          }
          Thread cutter =
              new Thread(
                  () -> {
                    try {
                      mayBreakOff.await();
                      socket.close();
                    } catch (IOException | InterruptedException e) {
                      // The connection has ended already.
                    }
                  });
          cutter.setDaemon(true);
          cutter.start();
          return sendEvents(head, out);
        };
    FakeUpstream one = upstream(HEAD_PREFIX + "1", script);
    FakeUpstream two = upstream(HEAD_PREFIX + "2", script);
    try (Socket caller = open()) {
      waitFor(() -> openCount() == 1);
      Thread.sleep(MAX_UNREAD_MS / 3);
      mayBreakOff.countDown();
      Thread.sleep(MAX_UNREAD_MS / 3);
      String answer = readAll(caller);
      int from = 0;
      for (int id = 1; id <= EVENTS; id++) {
        from = answer.indexOf("id: " + id + "\n", from);
        assertThat("event " + id, from >= 0, is(true));
      }
      assertThat(answer.endsWith("0\r\n\r\n"), is(true));
      assertThat(answer.split("id: 500\n", -1).length, is(2));
    }
    assertThat(one.requestHeads().size() + two.requestHeads().size(), is(2));
  }
}
