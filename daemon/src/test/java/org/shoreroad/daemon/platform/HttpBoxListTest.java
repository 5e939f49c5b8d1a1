package org.shoreroad.daemon.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shoreroad.Box;
import org.shoreroad.placement.ListedBox;

/** Guards against an odd entry that makes the whole list of boxes unusable. */
class HttpBoxListTest {
  private static final String SOUND =
      "{\"name\":\"b1\",\"address\":\"127.0.0.1:1\",\"fabric_domain\":\"d\",\"availability_zone\":\"z\","
          + "\"state\":\"ready\"}";

  private HttpServer server;
  private byte[] answer = new byte[0];
  private final List<String> faults = new ArrayList<>();

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

  private List<ListedBox> readBoxes(String list) {
    answer = list.getBytes(StandardCharsets.UTF_8);
    return new HttpBoxList(url(), faults::add).read();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{}",
        "null",
        "[]",
        "\"b2\"",
        "{\"name\":7}",
        "{\"name\":\"\",\"address\":\"a\",\"fabric_domain\":\"d\",\"availability_zone\":\"z\"}",
        "{\"name\":[[[[]]]],\"address\":{}}"
      })
  void oddEntryAffectsNoOther(String entry) {
    Box sound = new Box("b1", "127.0.0.1:1", "d", "z");
    List<ListedBox> expected = List.of(new ListedBox(sound, false));
    assertThat(readBoxes("[" + entry + "," + SOUND + "]"), is(expected));
    assertThat(faults.size(), is(1));
  }

  @Test
  void unknownFieldOfManyLevelsIsIgnored() {
    String nested = "[".repeat(900) + "]".repeat(900);
    assertThat(readBoxes("[" + SOUND.replace("}", ",\"x\":" + nested + "}") + "]").size(), is(1));
  }

  @Test
  void listThatIsNoListIsRejected() {
    for (String list : List.of("", "{}", "7", "[".repeat(5_000), "[".repeat(100_000))) {
      assertThrows(LogException.class, () -> readBoxes(list), list.length() + " characters");
    }
  }
}
