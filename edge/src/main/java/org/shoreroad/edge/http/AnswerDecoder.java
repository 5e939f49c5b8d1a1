package org.shoreroad.edge.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Decoder of answers from servers. Not thread-safe: used on the event loop. */
final class AnswerDecoder extends HttpResponseDecoder {
  private boolean isToHead;

  AnswerDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /**
   * Expects the answer to a request.
   *
   * @param isToHead true if the request has the method HEAD, so that its answer has no body
   */
  void expectAnswer(boolean isToHead) {
    this.isToHead = isToHead;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage answer) {
    boolean isEmpty = isToHead || super.isContentAlwaysEmpty(answer);
    boolean isInformational =
        ((HttpResponse) answer).status().codeClass() == HttpStatusClass.INFORMATIONAL;
    // Only one final answer belongs to the request.
    isToHead = isToHead && isInformational;
    return isEmpty;
  }
}
