package org.shoreroad.edge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.shoreroad.http.MessageSyntax;

class AnswerCheckTest {
  private static final int SEEDS = 20_000;
  private static final int MAX_CHANGES = 3;
  private static final int FAILED = -1;
  private static final String BYTES = "\r\n\t :;,0123456789abcfxA\0\u0007\u000b\u007f\u0080\u00e9";

  private static final List<String> ANSWERS =
      List.of(
          "HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 4\r\n\r\nbody",
          "HTTP/1.1 200\r\nX-A : 1\r\n 2\r\nContent-Length: 4\r\n\r\nbody",
          "HTTP/1.1 204 No\r\nX-A: 1\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + "4;a=b\r\nbody\r\nA ;c\r\n0123456789\r\n00\r\nX-B: 1\r\n\r\n");

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  /**
   * What is accepted must be decoded as the check reads it, in whatever pieces it comes: where the
   * two differed on the length of a body, bytes of one answer would be taken for another one.
   */
  @Test
  void acceptedMessagesEndWhereTheDecoderEndsThem() {
    int decoded = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      String answer = change(ANSWERS.get(random.nextInt(ANSWERS.size())), random);
      EmbeddedChannel decoder =
          new EmbeddedChannel(new HttpResponseDecoder(HttpCalls.decoderConfig()));
      MessageSyntax checked = MessageSyntax.ofAnswers();
      boolean isOver = passOn(answer, checked, decoder, random);
      int ends = endCount(decoder);
      if (ends != FAILED) {
        assertThat("seed " + seed + ", " + answer, ends, is(isOver ? 1 : 0));
        decoded++;
      }
      decoder.finishAndReleaseAll();
    }
    assertThat("decoded", decoded, greaterThan(SEEDS / 2));
  }

  private static String change(String answer, SplittableRandom random) {
    StringBuilder changed = new StringBuilder(answer);
    for (int i = random.nextInt(MAX_CHANGES + 1); i > 0; i--) {
      int at = random.nextInt(changed.length());
      char next = BYTES.charAt(random.nextInt(BYTES.length()));
      switch (random.nextInt(MAX_CHANGES)) {
        case 0 -> changed.setCharAt(at, next);
        case 1 -> changed.insert(at, next);
        default -> changed.deleteCharAt(at);
      }
    }
    return changed.toString();
  }

  /** Passes on the valid bytes of the first message, in pieces; returns true if it is over. */
  private static boolean passOn(
      String answer, MessageSyntax checked, EmbeddedChannel decoder, SplittableRandom random) {
    ByteBuf all = bytes(answer);
    while (all.isReadable() && !checked.isOver() && checked.fault() == null) {
      ByteBuf piece = all.readSlice(1 + random.nextInt(all.readableBytes()));
      int valid = checked.read(piece.nioBuffer());
      decoder.writeInbound(piece.readBytes(valid));
    }
    all.release();
    return checked.isOver();
  }

  /** Returns the number of messages that the decoder has read to their end, or that it failed. */
  private static int endCount(EmbeddedChannel decoder) {
    int count = 0;
    boolean hasFailed = false;
    for (HttpObject next = decoder.readInbound(); next != null; next = decoder.readInbound()) {
      hasFailed |= next.decoderResult().isFailure();
      if (next instanceof LastHttpContent) {
        count++;
      }
      if (next instanceof HttpContent content) {
        content.release();
      }
    }
    return hasFailed ? FAILED : count;
  }
}
