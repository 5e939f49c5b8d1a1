package org.shoreroad.edge.http;

import io.netty.handler.codec.http.FullHttpRequest;
import org.jspecify.annotations.Nullable;

/**
 * One request on its way, and the handle to end it early.
 *
 * <p>Used on the event loop only.
 *
 * @since 0.2
 */
public final class HttpCall {
  private final FullHttpRequest request;
  private final CallListener listener;
  private @Nullable HttpConnection connection;
  private boolean isSent;
  private boolean isOver;

  HttpCall(FullHttpRequest request, CallListener listener) {
    this.request = request;
    this.listener = listener;
  }

  /** Ends the call; the connection is closed, and the listener hears nothing more. */
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
    connection.abandon();
  }

  /** Stops or resumes reading the answer, so that a slow caller holds the upstream up. */
  public void setReading(boolean isReading) {
    if (connection != null && !isOver) {
      connection.setReading(isReading);
    }
  }

  /** Returns true once a byte of the request may have left this process. */
  public boolean isSent() {
    return isSent;
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

  void markLeft() {
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
