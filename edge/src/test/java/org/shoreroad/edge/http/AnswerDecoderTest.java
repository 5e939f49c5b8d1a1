package org.shoreroad.edge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AnswerDecoderTest {
  private final AnswerDecoder decoder = new AnswerDecoder(HttpCalls.decoderConfig());
  private final EmbeddedChannel channel = new EmbeddedChannel(decoder);

  /** Returns the status and the body of each answer that ends. */
  private List<String> read(String bytes) {
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
    List<String> answers = new ArrayList<>();
    StringBuilder answer = new StringBuilder();
    for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
      if (part instanceof HttpResponse head) {
        answer.append(head.status().code()).append(' ');
      }
      if (part instanceof HttpContent content) {
        answer.append(content.content().toString(StandardCharsets.US_ASCII));
      }
      if (part instanceof LastHttpContent) {
        answers.add(answer.toString());
        answer.setLength(0);
      }
      ReferenceCountUtil.release(part);
    }
    return answers;
  }

  /** Guards against a call with HEAD that waits for a body, or takes the next answer for it. */
  @Test
  void onlyTheFinalAnswerToHeadHasNoBody() {
    decoder.expectAnswer(true);
    assertThat(
        read(
            "HTTP/1.1 100 Continue\r\n\r\n"
                + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
                + "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"),
        is(List.of("100 ", "200 ", "200 body")));
  }

  @Test
  void answerToAnotherMethodHasItsBody() {
    decoder.expectAnswer(false);
    assertThat(read("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"), is(List.of("200 body")));
    decoder.expectAnswer(false);
    assertThat(read("HTTP/1.1 204 No\r\n\r\n"), is(List.of("204 ")));
  }
}
