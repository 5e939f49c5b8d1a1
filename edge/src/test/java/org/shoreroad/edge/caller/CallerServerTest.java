package org.shoreroad.edge.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.traffic.CallerLimits;

/** Tests of callers' connections over loopback sockets, with short limits. No time is measured. */
class CallerServerTest {
  private static final CallerLimits LIMITS = new CallerLimits(2_000, 1_000, 300, 600);
  private static final int READ_TIMEOUT_MS = 10_000;
  private static final int LATE_MS = 100;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final List<String> bad = new CopyOnWriteArrayList<>();
  private final List<String> gone = new CopyOnWriteArrayList<>();
  private final List<String> bodies = new CopyOnWriteArrayList<>();
  private CallerServer server;
  private InetSocketAddress address;

  @BeforeEach
  void start() throws Exception {
    server = new CallerServer(loop, System::nanoTime, () -> LIMITS, this::begin, bad::add);
    address =
        (InetSocketAddress)
            server
                .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress();
  }

  @AfterEach
  void stop() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  /**
   * Answers with the path. The answer to /late is delayed, the answer to /cut is aborted, /twice is
   * answered a second time, and /silent gets no answer.
   */
  private CallerExchange begin(CallerRequest request, AnswerChannel answers) {
    bodies.add(request.body().toString(StandardCharsets.UTF_8));
    request.body().release();
    if (request.uri().equals("/cut")) {
      answers.begin(HttpResponseStatus.OK, new DefaultHttpHeaders());
      answers.send(Unpooled.copiedBuffer("passed on", StandardCharsets.UTF_8));
      answers.abort();
    } else if (request.uri().equals("/twice")) {
      answers.begin(HttpResponseStatus.OK, new DefaultHttpHeaders());
      assertThrows(IllegalStateException.class, () -> answer(request, answers));
    } else if (request.uri().equals("/late")) {
      loop.schedule(() -> answer(request, answers), LATE_MS, TimeUnit.MILLISECONDS);
    } else if (!request.uri().equals("/silent")) {
      answer(request, answers);
    }
    return new CallerExchange() {
      @Override
      public void onCallerGone() {
        gone.add(request.uri());
      }

      @Override
      public void onWritabilityChanged(boolean isWritable) {
        // Small answers only.
      }
    };
  }

  private static void answer(CallerRequest request, AnswerChannel answers) {
    answers.answer(
        HttpResponseStatus.OK,
        new DefaultHttpHeaders(),
        Unpooled.copiedBuffer(request.uri(), StandardCharsets.UTF_8));
  }

  /** Sends the text and returns all that the server sends until it closes the connection. */
  private String send(String text) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static int countAnswers(String answers) {
    return answers.split("HTTP/1.1 200", -1).length - 1;
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    String answers =
        send(
            "GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\nConnection: close\r\n\r\n");
    assertThat(answers.indexOf("/a") < answers.indexOf("/b"), is(true));
    assertThat(answers.indexOf("/b") < answers.indexOf("/c"), is(true));
    assertThat(answers.toLowerCase(), containsString("connection: close"));
  }

  @Test
  void lastRequestDoesNotEndTheOnesBeforeIt() throws Exception {
    String answers =
        send(
            "GET /late HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
                + "GET /c HTTP/1.1\r\nConnection: close\r\n\r\n");
    assertThat(countAnswers(answers), is(3));
  }

  @Test
  void badInputDoesNotEndTheRequestsBeforeIt() throws Exception {
    String answers = send("GET /late HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nnonsense\r\n\r\n");
    assertThat(countAnswers(answers), is(2));
    assertThat(answers, containsString("/b"));
  }

  @Test
  void manyPipelinedRequestsDoNotEndTheConnection() throws Exception {
    int count = 200;
    StringBuilder requests = new StringBuilder("GET /late HTTP/1.1\r\n\r\n");
    for (int i = 1; i < count; i++) {
      requests.append("GET /r").append(i).append(" HTTP/1.1\r\n\r\n");
    }
    String answers = send(requests + "GET /last HTTP/1.1\r\nConnection: close\r\n\r\n");
    assertThat(countAnswers(answers), is(count + 1));
    assertThat(answers, containsString("/last"));
  }

  @Test
  void chunkedBodyIsReadCompletely() throws Exception {
    send(
        "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    assertThat(bodies, is(List.of("abcde")));
  }

  @Test
  void headThatNeverEndsIsRefused() throws Exception {
    assertThat(send("GET /a HTTP/1.1\r\nHost: x"), startsWith("HTTP/1.1 408"));
    assertThat(bad, is(List.of("slow_head")));
  }

  @Test
  void idleConnectionIsClosed() throws Exception {
    assertThat(send(""), is(""));
  }

  @Test
  void bodyIsRefusedAtItsSizeLimit() throws Exception {
    String chunk = "400\r\n" + "x".repeat(0x400) + "\r\n";
    assertThat(
        send("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk),
        startsWith("HTTP/1.1 413"));
    assertThat(bad, is(List.of("body_too_large")));
  }

  @Test
  void malformedRequestIsRefused() throws Exception {
    assertThat(send("nonsense\r\n\r\n"), startsWith("HTTP/1.1 400"));
  }

  @Test
  void writtenPartsAreSentBeforeAnAnswerIsAborted() throws Exception {
    String answer = send("GET /cut HTTP/1.1\r\n\r\n");
    assertThat(answer, containsString("passed on"));
    assertThat(answer.endsWith("0\r\n\r\n"), is(false));
  }

  @Test
  void secondAnswerDuringAnAnswerClosesTheConnection() throws Exception {
    String answer = send("GET /twice HTTP/1.1\r\n\r\n");
    assertThat(answer, startsWith("HTTP/1.1 200"));
    assertThat(answer.endsWith("0\r\n\r\n"), is(false));
  }

  @Test
  void lossOfTheCallerIsReported() throws Exception {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.getOutputStream().write("GET /silent HTTP/1.1\r\n\r\n".getBytes());
      while (bodies.isEmpty()) {
        Thread.sleep(5);
      }
    }
    while (gone.isEmpty()) {
      Thread.sleep(5);
    }
    assertThat(gone, is(List.of("/silent")));
  }

  @Test
  void stoppingServerAnnouncesTheEndOfTheConnection() throws Exception {
    loop.submit(server::disableKeepAlive).sync();
    String answer = send("GET /a HTTP/1.1\r\n\r\n");
    assertThat(answer.toLowerCase(), containsString("connection: close"));
  }

  @Test
  void idleConnectionsCanBeClosedAtOnce() throws Exception {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      InputStream in = socket.getInputStream();
      socket.getOutputStream().write("GET /a HTTP/1.1\r\n\r\n".getBytes());
      StringBuilder answer = new StringBuilder();
      while (!answer.toString().endsWith("\r\n\r\n/a")) {
        answer.append((char) in.read());
      }
      loop.submit(server::closeIdle).sync();
      assertThat(in.read(), is(-1));
    }
  }
}
