package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
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
