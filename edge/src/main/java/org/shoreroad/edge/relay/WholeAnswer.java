package org.shoreroad.edge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.caller.AnswerChannel;

/**
 * Answer of one attempt that is no stream. It is collected until it is complete, so that the
 * request can still be repeated, unless it is sent on before.
 *
 * <p>Used on the event loop only.
 *
 * @since 0.2
 */
final class WholeAnswer {
  private static final int MAX_COMPONENTS = 64;

  private final AnswerChannel answers;
  private final HttpResponse head;
  private final long lengthBytes;
  private @Nullable CompositeByteBuf collected = Unpooled.compositeBuffer(MAX_COMPONENTS);
  private long receivedBytes;

  /** Creates an answer of which only the head was received. */
  WholeAnswer(AnswerChannel answers, HttpResponse head) {
    this.answers = answers;
    this.head = head;
    this.lengthBytes =
        HttpUtil.isTransferEncodingChunked(head)
            ? AnswerChannel.UNKNOWN_LENGTH
            : HttpUtil.getContentLength(head, AnswerChannel.UNKNOWN_LENGTH);
  }

  HttpResponseStatus status() {
    return head.status();
  }

  boolean isOfClass(HttpStatusClass statusClass) {
    return head.status().codeClass() == statusClass;
  }

  /** Returns the bytes of the body that were received. */
  long receivedBytes() {
    return receivedBytes;
  }

  /** Adds a piece of the body, whose buffer is retained as long as needed. */
  void add(ByteBuf piece) {
    receivedBytes += piece.readableBytes();
    if (collected == null) {
      answers.send(piece.retain());
    } else {
      answers.addCollected(piece.readableBytes());
      collected.addComponent(true, piece.retain());
    }
  }

  /** Returns true if it is being sent on. */
  boolean isBegun() {
    return collected == null;
  }

  /** Sends on what was received, and from now on each piece as it comes. */
  void begin() {
    answers.begin(head.status(), headers(), lengthBytes);
    ByteBuf body = takeCollected();
    if (body.isReadable()) {
      answers.send(body);
    } else {
      body.release();
    }
  }

  /** Sends on all that was not sent yet, with the end of the answer. */
  void complete() {
    if (isBegun()) {
      answers.end();
    } else {
      answers.answer(head.status(), headers(), takeCollected());
    }
  }

  private HttpHeaders headers() {
    return HopByHopHeaders.copyWithout(head.headers());
  }

  /** Returns what is collected, which the caller has to release; nothing is collected after it. */
  private ByteBuf takeCollected() {
    CompositeByteBuf body = collected;
    if (body == null) {
      return Unpooled.EMPTY_BUFFER;
    }
    collected = null;
    answers.addCollected(-body.readableBytes());
    return body;
  }

  /** Returns true if no more and no less was received than the head states. */
  boolean isOfStatedLength() {
    return lengthBytes == AnswerChannel.UNKNOWN_LENGTH || lengthBytes == receivedBytes;
  }

  /** Releases what is collected. */
  void release() {
    takeCollected().release();
  }
}
