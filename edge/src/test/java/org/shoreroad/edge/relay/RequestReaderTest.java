package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.caller.CallerRequest;

class RequestReaderTest {
  private static Set<String> partIds(String header) {
    HttpHeaders headers = new DefaultHttpHeaders().set("X-Parts", header);
    CallerRequest request =
        new CallerRequest(HttpMethod.POST, "/", headers, Unpooled.EMPTY_BUFFER, 0);
    return new RequestReader(request, LoopbackRelay.NAMES).sharedPartIds();
  }

  private static RequestReader reader(String name, String receivedBytes) {
    HttpHeaders headers = new DefaultHttpHeaders().set(name, receivedBytes);
    CallerRequest request =
        new CallerRequest(HttpMethod.POST, "/", headers, Unpooled.EMPTY_BUFFER, 0);
    return new RequestReader(request, LoopbackRelay.NAMES);
  }

  /** Returns the characters that Netty reads for a text in UTF-8, one for each byte. */
  private static String received(String text) {
    return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  /** Guards against a declared model beyond ASCII whose requests are taken for another model. */
  @Test
  void modelAndKeyAreReadAsUtf8() {
    assertThat(reader("X-Model", received("модель-東")).model(), is("модель-東"));
    assertThat(reader("Authorization", received("Bearer ключ")).key(), is("ключ"));
  }

  /** Guards against a key in another encoding that is taken for that of a second account. */
  @Test
  void bytesThatAreNotUtf8AreNoKeyAndNoModel() {
    String latin1 = "caf\u00e9";
    assertThat(reader("X-Model", latin1).model(), is(""));
    assertThat(reader("Authorization", "Bearer " + latin1).key(), is(""));
  }

  @Test
  void sharedPartsAreAllButTheLast() {
    assertThat(partIds("5c1e:800, 91bd:410,5c1e:800,e440:250"), contains("5c1e", "91bd"));
  }

  @Test
  void onePartAloneIsNotShared() {
    assertThat(partIds("5c1e:800"), empty());
    assertThat(partIds(""), empty());
  }

  @Test
  void malformedPartsAreRead() {
    assertThat(partIds("5c1e,:12,,91bd:x:y,end"), contains("5c1e", "91bd"));
  }

  @Test
  void numberOfPartsIsBounded() {
    StringBuilder header = new StringBuilder();
    for (int i = 0; i < 1_000; i++) {
      header.append(i).append(":1,");
    }
    assertThat(partIds(header.toString()), hasSize(64));
  }
}
