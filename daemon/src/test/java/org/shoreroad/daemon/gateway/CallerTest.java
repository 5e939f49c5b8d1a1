package org.shoreroad.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.common.hash.Hashing;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shoreroad.ShoreroadException;
import org.shoreroad.config.AccountSpec;
import org.shoreroad.config.Configuration;

class CallerTest {
  private static final String UNKNOWN = "unknown";

  private static Configuration configuration(String key) {
    String digest = Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    return Configuration.of(List.of(new AccountSpec("office", digest, 1, 1)));
  }

  private static String accountOf(HttpServerExchange exchange, Configuration configuration) {
    try {
      return Caller.findAccount(exchange, configuration).name();
    } catch (ShoreroadException e) {
      return UNKNOWN;
    }
  }

  /** Returns the account that a server finds for the key, whose bytes are sent as they are. */
  private static String accountFor(byte[] sentKey, Configuration configuration) throws Exception {
    Undertow server =
        Undertow.builder()
            .addHttpListener(0, "127.0.0.1")
            .setHandler(
                exchange -> exchange.getResponseSender().send(accountOf(exchange, configuration)))
            .build();
    server.start();
    InetSocketAddress address = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.getPort())) {
      String head = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAuthorization: Bearer ";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(sentKey);
      socket.getOutputStream().write("\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      String answer =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      return answer.substring(answer.indexOf("\r\n\r\n") + 4);
    } finally {
      server.stop();
    }
  }

  /** Guards against a key beyond ASCII whose bytes are encoded again before they are compared. */
  @ParameterizedTest
  @ValueSource(strings = {"plain", "clé", "ключ", "鍵🏢"})
  void keyIsComparedByItsBytes(String key) throws Exception {
    byte[] sent = key.getBytes(StandardCharsets.UTF_8);
    assertThat(accountFor(sent, configuration(key)), is("office"));
  }

  @Test
  void keyInAnotherEncodingIsUnknown() throws Exception {
    byte[] sent = "clé".getBytes(StandardCharsets.ISO_8859_1);
    assertThat(accountFor(sent, configuration("clé")), is(UNKNOWN));
  }
}
