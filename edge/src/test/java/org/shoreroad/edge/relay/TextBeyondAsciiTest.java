package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shoreroad.traffic.ClientAccount;

/** Tests text of the configuration and the list beyond ASCII, in headers on loopback. */
class TextBeyondAsciiTest extends LoopbackRelay {
  private static final List<String> ACCOUNT_NAMES =
      List.of(
          "রাজমিস্ত্রি",
          "কাঠমিস্ত্রি",
          "東京支店",
          "Контора",
          "café",
          "cafÃ©",
          "𝒪ffice 🏢",
          "مكتب",
          "ascii office");
  private static final String KEY_BEYOND_ASCII = "ключ-é-鍵";

  static IntStream accountIndexes() {
    return IntStream.range(0, ACCOUNT_NAMES.size());
  }

  @Override
  List<ClientAccount> accounts() {
    List<ClientAccount> accounts = new ArrayList<>();
    for (int i = 0; i < ACCOUNT_NAMES.size(); i++) {
      accounts.add(new ClientAccount(ACCOUNT_NAMES.get(i), Set.of("key-" + i), 1));
    }
    accounts.add(new ClientAccount("keeper", Set.of(KEY_BEYOND_ASCII), 1));
    return accounts;
  }

  private static String utf8(String receivedBytes) {
    return new String(receivedBytes.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
  }

  /** Guards against names that reach the upstream as question marks, two accounts alike. */
  @ParameterizedTest
  @MethodSource("accountIndexes")
  void accountNameReachesTheUpstreamInUtf8(int index) throws Exception {
    FakeUpstream upstream = upstream("i-1", SERVING);
    assertThat(call("/once/", "key-" + index, ""), startsWith("HTTP/1.1 200"));
    String received = FakeUpstream.header(upstream.requestHeads().get(0), "X-Account");
    assertThat(utf8(received), is(ACCOUNT_NAMES.get(index)));
  }

  /** Guards against an id that reaches its upstream as question marks, so that it refuses. */
  @Test
  void idOfTheExpectedUpstreamIsSentInUtf8() throws Exception {
    String id = "i-сервер-東";
    FakeUpstream upstream = upstream(id, SERVING);
    assertThat(call("/once/", "key-0", ""), startsWith("HTTP/1.1 200"));
    assertThat(utf8(FakeUpstream.header(upstream.requestHeads().get(0), "X-Expect")), is(id));
  }

  /** Guards against a valid key beyond ASCII that is refused as unknown. */
  @Test
  void keyBeyondAsciiIsReadAsUtf8() throws Exception {
    FakeUpstream upstream = upstream("i-1", SERVING);
    assertThat(call("/once/", KEY_BEYOND_ASCII, ""), startsWith("HTTP/1.1 200"));
    assertThat(FakeUpstream.header(upstream.requestHeads().get(0), "X-Account"), is("keeper"));
  }

  /** Guards against a target whose bytes beyond ASCII are encoded a second time. */
  @ParameterizedTest
  @ValueSource(strings = {"/once/東京?q=é&r=%E6%9D%B1", "/once/", "/once/?{c}|%20"})
  void targetReachesTheUpstreamUnaltered(String target) throws Exception {
    FakeUpstream upstream = upstream("i-1", SERVING);
    assertThat(call(target, "key-0", ""), startsWith("HTTP/1.1 200"));
    assertThat(utf8(upstream.requestHeads().get(0)), startsWith("GET " + target + " HTTP/1.1\n"));
  }

  @Test
  void targetThatIsNotUtf8ReachesTheUpstreamUnaltered() throws Exception {
    FakeUpstream upstream = upstream("i-1", SERVING);
    try (Socket socket = connect()) {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      String request =
          "GET /once/caf\u00e9 HTTP/1.1\r\nHost: h.example\r\nX-Attempt: a1\r\n"
              + "Authorization: Bearer key-0\r\n\r\n";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      byte[] status = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
      assertThat(new String(status, StandardCharsets.US_ASCII), is("HTTP/1.1 200"));
    }
    assertThat(upstream.requestHeads().get(0), startsWith("GET /once/caf\u00e9 HTTP/1.1\n"));
  }
}
