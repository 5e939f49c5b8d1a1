package org.shoreroad.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class RequestFingerprintTest {
  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }

  private static RequestFingerprint of(
      String method, String host, String uri, String caller, String body) {
    return RequestFingerprint.of(method, host, uri, caller, bytes(body));
  }

  @Test
  void theSameRequestHasTheSameFingerprint() {
    RequestFingerprint one = of("POST", "h", "/a?b=1", "office", "body");
    assertThat(of("POST", "h", "/a?b=1", "office", "body"), is(one));
    assertThat(one.toString().length(), is(32));
  }

  @Test
  void eachPartChangesTheFingerprint() {
    RequestFingerprint one = of("POST", "h", "/a", "office", "body");
    assertThat(of("GET", "h", "/a", "office", "body"), is(not(one)));
    assertThat(of("POST", "g", "/a", "office", "body"), is(not(one)));
    assertThat(of("POST", "h", "/b", "office", "body"), is(not(one)));
    assertThat(of("POST", "h", "/a", "other", "body"), is(not(one)));
    assertThat(of("POST", "h", "/a", "office", "bodY"), is(not(one)));
  }

  @Test
  void aCharacterThatMovesToTheNextPartChangesTheFingerprint() {
    assertThat(of("POST", "h", "/ab", "c", ""), is(not(of("POST", "h", "/a", "bc", ""))));
    assertThat(of("POST", "h", "/a", "b", "c"), is(not(of("POST", "h", "/a", "bc", ""))));
  }

  @Test
  void thePositionOfTheBodyIsNotChanged() {
    ByteBuffer body = bytes("body");
    RequestFingerprint.of("POST", "h", "/a", "", body);
    assertThat(body.remaining(), is(4));
  }
}
