package org.shoreroad.edge.http;

import io.netty.handler.codec.http.FullHttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * Request in progress, which can be canceled.
 *
 * <p>Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class HttpCall implements UpstreamCall {
  private final FullHttpRequest request;
  private final CallListener listener;
  private @Nullable HttpConnection connection;
  private boolean isSent;
  private boolean isOver;

  HttpCall(FullHttpRequest request, CallListener listener) {
    this.request = request;
    this.listener = listener;
  }

  /** Ends the call and closes its connection; the listener is not called any more. */
  @Override
  public void cancel() {
    if (isOver) {
      return;
    }
    isOver = true;
    if (connection == null) {
      request.release();
      return;
    }
    if (!isSent) {
      request.release();
    }
    connection.cancel();
  }

  @Override
  public void setReading(boolean isReading) {
    if (connection != null && !isOver) {
      connection.setReading(isReading);
    }
  }

  @Override
  public boolean isSent() {
    return isSent;
  }

  @Override
  public boolean isDirect() {
    return true;
  }

  boolean isOver() {
    return isOver;
  }

  CallListener listener() {
    return listener;
  }

  FullHttpRequest request() {
    return request;
  }

  void setConnection(HttpConnection connection) {
    this.connection = connection;
  }

  void markSent() {
    isSent = true;
  }

  void end() {
    if (!isOver) {
      isOver = true;
      listener.onEnd();
    }
  }

  void fail(CallFailure.Reason reason) {
    if (isOver) {
      return;
    }
    isOver = true;
    if (!isSent) {
      request.release();
    }
    listener.onFailure(new CallFailure(reason, isSent));
  }
}
