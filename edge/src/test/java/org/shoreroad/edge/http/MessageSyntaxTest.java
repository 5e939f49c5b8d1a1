package org.shoreroad.edge.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MessageSyntaxTest {
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

  private final StatusLineSyntax statusLine = new StatusLineSyntax();
  private final MessageSyntax syntax = new MessageSyntax(statusLine);

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  private int read(String text) {
    ByteBuf bytes = bytes(text);
    int count = syntax.read(bytes);
    bytes.release();
    return count;
  }

  @Test
  void eachMessageIsReadToItsEnd() {
    for (String answer : ANSWERS) {
      assertThat(answer, read(answer + "more"), is(answer.length()));
      assertThat(answer, syntax.isOver(), is(true));
      assertThat(answer, syntax.fault(), is(nullValue()));
    }
  }

  @Test
  void eachMessageIsReadByteByByte() {
    for (String answer : ANSWERS) {
      for (int i = 0; i < answer.length(); i++) {
        assertThat(read(answer.substring(i, i + 1)), is(1));
        assertThat(answer + i, syntax.isOver(), is(i == answer.length() - 1));
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "'HTTP/1.1\0', START_LINE",
    "'HTTP/1.1 000', STATUS",
    "'HTTP/1.1 101', UPGRADE",
    "'HTTP/1.1 200 OK|X-A b', FIELD_NAME",
    "'HTTP/1.1 200 OK|X-A: \0', FIELD_VALUE",
    "'HTTP/1.1 200 OK|Content-Length: a||', LENGTH",
    "'HTTP/1.1 200 OK|Transfer-Encoding: a||', TRANSFER_CODING",
    "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||4x', CHUNK",
    "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||0|X-A b', FIELD_NAME"
  })
  void faultIsNamedAtItsFirstByte(String text, SyntaxFault expected) {
    String sent = text.replace("|", "\r\n");
    boolean isOfStatus = expected == SyntaxFault.STATUS || expected == SyntaxFault.UPGRADE;
    // The status is complete only before the next byte.
    int valid = read(isOfStatus ? sent + " " : sent);
    assertThat(syntax.fault(), is(expected));
    if (!isOfStatus && expected != SyntaxFault.FIELD_NAME) {
      assertThat(valid, is(sent.length() - 1));
    }
  }

  @Test
  void longValueThatStatesTheLengthIsAFault() {
    read("HTTP/1.1 200 OK\r\nContent-Length: " + "1,".repeat(1_000) + "1\r\n\r\n");
    assertThat(syntax.fault(), is(SyntaxFault.LENGTH));
  }

  @Test
  void answerWithoutLengthIsNeverOver() {
    String answer = "HTTP/1.0 200 OK\r\n\r\nbody HTTP/1.1 000\r\n\0";
    assertThat(read(answer), is(answer.length()));
    assertThat(syntax.isOver(), is(false));
  }

  @Test
  void answerToHeadHasNoBody() {
    String answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    statusLine.setToHead(true);
    assertThat(read("HTTP/1.1 100 Go\r\n\r\n"), is("HTTP/1.1 100 Go\r\n\r\n".length()));
    assertThat(read(answer), is(answer.length()));
    assertThat(syntax.isOver(), is(true));
    assertThat(read(answer + "body"), is(answer.length() + "body".length()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"\r\n", "\r\n\r\n", " ", "\t \r\n"})
  void blanksBeforeTheStatusLineAreSkipped(String before) {
    read(before + ANSWERS.get(0));
    assertThat(syntax.isOver(), is(true));
  }

  /**
   * What is accepted must be decoded as this class reads it, in whatever pieces it comes: where the
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
      MessageSyntax checked = new MessageSyntax(new StatusLineSyntax());
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
      int valid = checked.read(piece);
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
