package org.shoreroad.edge.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.function.BooleanSupplier;

/** Encoder of answers to callers. Not thread-safe: used on the event loop. */
final class AnswerEncoder extends HttpResponseEncoder {
  private final BooleanSupplier isToHead;

  /**
   * Creates an encoder.
   *
   * @param isToHead returns true while the answered request has the method HEAD, so that its answer
   *     has no body, not null
   */
  AnswerEncoder(BooleanSupplier isToHead) {
    this.isToHead = isToHead;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse answer) {
    return isToHead.getAsBoolean() || super.isContentAlwaysEmpty(answer);
  }
}
