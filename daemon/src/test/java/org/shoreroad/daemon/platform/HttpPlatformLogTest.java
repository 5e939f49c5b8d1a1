package org.shoreroad.daemon.platform;

import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against an answer of the log for which too much memory is allocated. */
class HttpPlatformLogTest {
  private HttpServer server;
  private byte[] answer = new byte[0];

  @BeforeEach
  void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          exchange.sendResponseHeaders(200, answer.length);
          exchange.getResponseBody().write(answer);
          exchange.close();
        });
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop(0);
  }

  private String url() {
    return "http://127.0.0.1:" + server.getAddress().getPort();
  }

  @Test
  void recordLongerThanTheAnswerOfTheLogIsRejected() {
    answer = new byte[] {1, 2, (byte) 0x91, 1, (byte) 0xc6, 0x7f, -1, -1, -1, 5};
    HttpPlatformLog log = new HttpPlatformLog(url());
    assertThrows(LogException.class, () -> log.read("control", 1, 10, 0));
  }
}
