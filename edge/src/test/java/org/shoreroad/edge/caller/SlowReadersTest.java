package org.shoreroad.edge.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.buffer.ByteBuf;
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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.traffic.CallerLimits;

/** Tests callers that do not read, over loopback sockets. */
class SlowReadersTest {
  private static final int MB = 1_048_576;
  private static final int MAX_BYTES = 16 * MB;

  /** What one iteration of the event loop may add before the bound is checked. */
  private static final int MARGIN_BYTES = 8 * MB;

  private static final int MAX_UNREAD_MS = 1_500;
  private static final int READ_TIMEOUT_MS = 20_000;
  private static final int WHOLE_BYTES = MB;
  private static final int PIECE_BYTES = 16_384;
  private static final int PIECES = 128;
  private static final int PIECE_INTERVAL_MS = 2;

  /** Small, so that little of an answer disappears in the buffers of the kernel. */
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final List<String> ended = new CopyOnWriteArrayList<>();
  private final List<String> refused = new CopyOnWriteArrayList<>();
  private final List<String> gone = new CopyOnWriteArrayList<>();
  private final List<String> begun = new CopyOnWriteArrayList<>();
  private final List<Socket> sockets = new ArrayList<>();
  private final HeldBytes held =
      new HeldBytes(
          new HeldBytesRule(MAX_BYTES, MAX_UNREAD_MS),
          new HeldBytes.Listener() {
            @Override
            public void onEnded(HeldBytesRule.Reason reason, long heldBytes, long unreadMs) {
              ended.add(reason.code());
            }

            @Override
            public void onRefused() {
              refused.add("memory");
            }
          });
  private volatile CallerLimits limits = new CallerLimits(2_000, 64 * MB, 5_000, 20_000);
  private CallerServer server;
  private long maxHeldBytes;
  private InetSocketAddress address;

  @BeforeEach
  void start() throws Exception {
    server =
        new CallerServer(loop, System::nanoTime, () -> limits, this::begin, reason -> {}, held);
    address =
        (InetSocketAddress)
            server
                .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress();
    loop.scheduleWithFixedDelay(
        () -> maxHeldBytes = Math.max(maxHeldBytes, held.estimatedBytes()),
        1,
        1,
        TimeUnit.MILLISECONDS);
  }

  @AfterEach
  void stop() throws Exception {
    for (Socket socket : sockets) {
      socket.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private CallerExchange begin(CallerRequest request, AnswerChannel answers) {
    begun.add(request.uri());
    boolean isSilent = request.uri().equals("/silent");
    if (!isSilent) {
      request.body().release();
    }
    StreamExchange exchange = new StreamExchange(request, answers, isSilent);
    if (request.uri().startsWith("/whole")) {
      answers.answer(HttpResponseStatus.OK, new DefaultHttpHeaders(), bytes(WHOLE_BYTES));
    } else if (!isSilent) {
      answers.begin(HttpResponseStatus.OK, new DefaultHttpHeaders());
      exchange.sendPiece();
    }
    return exchange;
  }

  private static ByteBuf bytes(int count) {
    return Unpooled.directBuffer(count).writeZero(count);
  }

  /** Stream that pauses while its caller does not read. */
  private final class StreamExchange implements CallerExchange {
    private final CallerRequest request;
    private final AnswerChannel answers;
    private final boolean isSilent;
    private int sent;
    private boolean isOver;

    StreamExchange(CallerRequest request, AnswerChannel answers, boolean isSilent) {
      this.request = request;
      this.answers = answers;
      this.isSilent = isSilent;
    }

    private void sendPiece() {
      if (isOver) {
        return;
      }
      if (sent == PIECES) {
        answers.end();
        return;
      }
      if (answers.isWritable()) {
        sent++;
        answers.send(bytes(PIECE_BYTES));
      }
      loop.schedule(this::sendPiece, PIECE_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void onCallerGone() {
      isOver = true;
      gone.add(request.uri());
      if (isSilent) {
        request.body().release();
      }
    }

    @Override
    public void onWritabilityChanged(boolean isWritable) {
      // Asked before each piece.
    }
  }

  private Socket open(String path) throws IOException {
    Socket socket = new Socket();
    sockets.add(socket);
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(address);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    String connection = path.endsWith("-kept") ? "keep-alive" : "close";
    send(socket, "GET " + path + " HTTP/1.1\r\nConnection: " + connection + "\r\n\r\n");
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  /** Reads the answer of a caller that reads at once, and returns its size. */
  private int read(String path) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      send(socket, "GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n");
      return socket.getInputStream().readAllBytes().length;
    }
  }

  private static void waitFor(BooleanSupplier condition) throws Exception {
    for (int i = 0; i < READ_TIMEOUT_MS / 10 && !condition.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertThat(condition.getAsBoolean(), is(true));
  }

  @Test
  void fiftyOfTwoHundredCallersReadNothing() throws Exception {
    ExecutorService readers = Executors.newFixedThreadPool(8);
    try {
      for (int i = 0; i < 50; i++) {
        open(i % 2 == 0 ? "/whole" : "/stream");
        Thread.sleep(20);
      }
      List<Future<Integer>> sizes = new ArrayList<>();
      for (int i = 0; i < 150; i++) {
        String path = i % 2 == 0 ? "/whole" : "/stream";
        sizes.add(readers.submit(() -> read(path)));
      }
      for (int i = 0; i < 150; i++) {
        int least = i % 2 == 0 ? WHOLE_BYTES : PIECES * PIECE_BYTES;
        assertThat(sizes.get(i).get(), greaterThanOrEqualTo(least));
      }
    } finally {
      readers.shutdownNow();
    }
    waitFor(() -> ended.size() == 50);
    assertThat(
        loop.submit(() -> maxHeldBytes).get(), lessThanOrEqualTo((long) MAX_BYTES + MARGIN_BYTES));
    assertThat(ended.contains("memory") && ended.contains("unread"), is(true));
    assertThat(gone.size(), is(25));
    loop.submit(() -> {}).sync();
    waitFor(() -> held.estimatedBytes() == 0);
  }

  @Test
  void aCallerThatReadsNothingIsEndedAndItsExchangeIsTold() throws Exception {
    open("/stream");
    waitFor(() -> !ended.isEmpty());
    assertThat(ended, is(List.of("unread")));
    waitFor(() -> gone.equals(List.of("/stream")));
  }

  @Test
  void aCallerThatGoesOnJustBeforeItsLimitGetsItsWholeAnswer() throws Exception {
    Socket socket = open("/stream");
    int size = 0;
    InputStream in = socket.getInputStream();
    for (int i = 0; i < 3; i++) {
      Thread.sleep(MAX_UNREAD_MS * 3 / 4);
      size += in.readNBytes(8 * PIECE_BYTES).length;
    }
    size += in.readAllBytes().length;
    assertThat(size, greaterThanOrEqualTo(PIECES * PIECE_BYTES));
    assertThat(ended, is(empty()));
  }

  @Test
  void aSlowCallerThatReadsALittleIsNotEnded() throws Exception {
    Socket socket = open("/whole");
    InputStream in = socket.getInputStream();
    int size = 0;
    for (int i = 0; i < 20; i++) {
      Thread.sleep(MAX_UNREAD_MS / 10);
      size += in.readNBytes(8_192).length;
    }
    size += in.readAllBytes().length;
    assertThat(size, greaterThanOrEqualTo(WHOLE_BYTES));
    assertThat(ended, is(empty()));
  }

  @Test
  void aRequestThatWasSentAheadBeginsOnceTheAnswerBeforeItWasRead() throws Exception {
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.connect(address);
      socket.setSoTimeout(READ_TIMEOUT_MS);
      send(socket, "GET /whole HTTP/1.1\r\n\r\nGET /whole HTTP/1.1\r\nConnection: close\r\n\r\n");
      InputStream in = socket.getInputStream();
      Thread.sleep(MAX_UNREAD_MS / 3);
      assertThat(begun, is(List.of("/whole")));
      assertThat(in.readAllBytes().length, greaterThanOrEqualTo(2 * WHOLE_BYTES));
    }
    assertThat(begun, is(List.of("/whole", "/whole")));
  }

  /** Reads an answer for longer than the idle timeout, and returns its size. */
  private int readSlowly(Socket socket) throws Exception {
    InputStream in = socket.getInputStream();
    int size = 0;
    for (int i = 0; i < 20; i++) {
      Thread.sleep(MAX_UNREAD_MS / 10);
      size += in.readNBytes(16_384).length;
    }
    return size + in.readAllBytes().length;
  }

  @Test
  void anAnswerThatIsStillBeingReadIsNotCutByTheIdleTimeout() throws Exception {
    limits = new CallerLimits(2_000, 64 * MB, 5_000, MAX_UNREAD_MS / 3);
    assertThat(readSlowly(open("/whole-kept")), greaterThanOrEqualTo(WHOLE_BYTES));
  }

  @Test
  void anAnswerThatIsStillBeingReadIsNotCutByAStop() throws Exception {
    Socket socket = open("/whole-kept");
    Thread.sleep(MAX_UNREAD_MS / 10);
    loop.submit(server::disableKeepAlive).sync();
    loop.submit(server::closeIdle).sync();
    assertThat(readSlowly(socket), greaterThanOrEqualTo(WHOLE_BYTES));
    waitFor(() -> server.connectionCount() == 0);
  }

  @Test
  void requestsThatWereAnsweredTakeNoMemoryFromTheNext() throws Exception {
    int bodyBytes = MAX_BYTES / 4;
    String head = "POST /whole HTTP/1.1\r\nConnection: close\r\nContent-Length: " + bodyBytes;
    for (int i = 0; i < 8; i++) {
      // Two checks of the bound are not closer to each other.
      Thread.sleep(20);
      try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
        socket.setSoTimeout(READ_TIMEOUT_MS);
        send(socket, head + "\r\n\r\n" + "x".repeat(bodyBytes));
        int size = socket.getInputStream().readAllBytes().length;
        assertThat("request " + i, size, greaterThanOrEqualTo(WHOLE_BYTES));
      }
    }
    assertThat(refused, is(empty()));
    assertThat(ended, is(empty()));
  }

  @Test
  void requestsAreRefusedWhileThereIsNoMemory() throws Exception {
    String body = "x".repeat(12 * MB);
    Socket holder = new Socket(address.getAddress(), address.getPort());
    sockets.add(holder);
    send(holder, "POST /silent HTTP/1.1\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    waitFor(() -> held.estimatedBytes() >= body.length());
    Socket next = new Socket(address.getAddress(), address.getPort());
    sockets.add(next);
    next.setSoTimeout(READ_TIMEOUT_MS);
    String head = "POST /silent HTTP/1.1\r\nContent-Length: " + 8 * MB + "\r\n\r\n";
    Thread sender =
        new Thread(
            () -> {
              try {
                send(next, head + "x".repeat(8 * MB));
              } catch (IOException e) {
                // Refused before all of it was read.
              }
            });
    sender.start();
    byte[] answer = next.getInputStream().readNBytes(200);
    assertThat(new String(answer, StandardCharsets.UTF_8).contains("503"), is(true));
    sender.join();
    assertThat(refused, is(List.of("memory")));
    assertThat(ended, is(empty()));
    holder.close();
    waitFor(() -> held.estimatedBytes() == 0);
  }
}
