package org.shoreroad.edge.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class AnswerEncoderTest {
  private boolean isToHead;
  private final EmbeddedChannel channel = new EmbeddedChannel(new AnswerEncoder(() -> isToHead));

  private String write(HttpResponse head) {
    channel.writeOutbound(
        head,
        new DefaultHttpContent(Unpooled.copiedBuffer("body", StandardCharsets.US_ASCII)),
        LastHttpContent.EMPTY_LAST_CONTENT);
    StringBuilder written = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      written.append(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }
    return written.toString();
  }

  private static HttpResponse answer() {
    return new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
  }

  /** Guards against a body that the caller takes for the next answer. */
  @Test
  void answerToHeadHasNoBodyAndKeepsItsLength() {
    isToHead = true;
    HttpResponse withLength = answer();
    withLength.headers().set(HttpHeaderNames.CONTENT_LENGTH, 4);
    assertThat(write(withLength), is("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n"));
    HttpResponse chunked = answer();
    chunked.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    assertThat(write(chunked), endsWith("chunked\r\n\r\n"));
  }

  @Test
  void answerToAnotherMethodHasItsBody() {
    HttpResponse withLength = answer();
    withLength.headers().set(HttpHeaderNames.CONTENT_LENGTH, 4);
    assertThat(write(withLength), endsWith("\r\n\r\nbody"));
    HttpResponse chunked = answer();
    chunked.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    assertThat(write(chunked), endsWith("\r\n\r\n4\r\nbody\r\n0\r\n\r\n"));
  }
}
