package org.shoreroad.daemon.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;

/** Guards against a nested body that ends a request without an answer. */
class ChatBodyTest {
  private static byte[] body(String message) {
    return ("{\"model\":\"m\",\"messages\":[" + message + "]}").getBytes(StandardCharsets.UTF_8);
  }

  private static String arrays(int depth) {
    return "[".repeat(depth) + "]".repeat(depth);
  }

  @Test
  void nestedMessagesWithinTheLimitAreRead() {
    assertThat(ChatBody.parse(body(arrays(900))).model(), is("m"));
  }

  @ParameterizedTest
  @ValueSource(ints = {1_100, 5_000, 100_000})
  void nestedMessagesBeyondTheLimitAreRefused(int depth) {
    ShoreroadException refused =
        assertThrows(ShoreroadException.class, () -> ChatBody.parse(body(arrays(depth))));
    assertThat(refused.code(), is(ErrorCode.BAD_REQUEST));
  }
}
