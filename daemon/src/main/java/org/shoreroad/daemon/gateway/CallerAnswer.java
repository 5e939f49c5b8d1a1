package org.shoreroad.daemon.gateway;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.RejectedExecutionException;
import org.shoreroad.ShoreroadException;
import org.shoreroad.daemon.owner.EngineClient;
import org.xnio.IoUtils;

/**
 * Writer of an answer to a caller.
 *
 * <p>The connection is accessed only on its I/O thread, with one write at a time. The bytes that
 * wait for a slow caller are limited. If an answer fails after its start, an error event is sent
 * and the connection is closed without the final HTTP chunk, so that no client can mistake the
 * answer for a complete one. Thread-safe.
 */
final class CallerAnswer {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final HttpString RETRY_AFTER = new HttpString("Retry-After");
  private static final HttpString REQUEST_ID = new HttpString(EngineClient.REQUEST_ID_HEADER);
  private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);
  private static final long MS_PER_SECOND = 1_000;

  private final HttpServerExchange exchange;
  private final String requestId;
  private final long maxUnsentBytes;
  private final Runnable onDisconnect;
  private final ByteArrayOutputStream unsent = new ByteArrayOutputStream();
  private boolean isStarted;
  private boolean isWriting;
  private boolean isFinishing;
  private boolean isAborting;
  private boolean isFinished;

  /**
   * Creates the writer for an exchange that was dispatched.
   *
   * @param exchange the exchange
   * @param requestId the request's id
   * @param maxUnsentBytes the maximum number of bytes that wait for a slow caller
   * @param onDisconnect called once if the caller has disconnected or is too slow
   */
  CallerAnswer(
      HttpServerExchange exchange, String requestId, long maxUnsentBytes, Runnable onDisconnect) {
    this.exchange = exchange;
    this.requestId = requestId;
    this.maxUnsentBytes = maxUnsentBytes;
    this.onDisconnect = onDisconnect;
  }

  /** Sends a part of an event stream. */
  void sendEvent(byte[] bytes) {
    onIoThread(
        () -> {
          unsent.writeBytes(bytes);
          if (unsent.size() > maxUnsentBytes) {
            disconnect();
          } else {
            writeUnsent();
          }
        });
  }

  /** Ends an event stream with its end marker, as complete. */
  void endEvents() {
    onIoThread(
        () -> {
          unsent.writeBytes(DONE);
          isFinishing = true;
          writeUnsent();
        });
  }

  /** Sends a complete answer that isn't streamed. */
  void sendComplete(int status, String contentType, byte[] bytes) {
    onIoThread(
        () -> {
          isStarted = true;
          isFinished = true;
          exchange.setStatusCode(status);
          exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
          exchange.getResponseHeaders().put(REQUEST_ID, requestId);
          exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
        });
  }

  /** Ends the answer with an error response, or with an error event if the stream has started. */
  void fail(ShoreroadException failure) {
    onIoThread(
        () -> {
          byte[] body = errorBody(failure, requestId);
          if (!isStarted) {
            isFinished = true;
            sendError(exchange, failure, requestId);
          } else {
            unsent.writeBytes("data: ".getBytes(StandardCharsets.UTF_8));
            unsent.writeBytes(body);
            unsent.writeBytes("\n\n".getBytes(StandardCharsets.UTF_8));
            isAborting = true;
            writeUnsent();
          }
        });
  }

  /** Sends an error response; only on the I/O thread and before any other response. */
  static void sendError(HttpServerExchange exchange, ShoreroadException failure, String requestId) {
    exchange.setStatusCode(failure.code().httpStatus());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseHeaders().put(REQUEST_ID, requestId);
    if (failure.retryAfterMs() > 0) {
      long seconds = (failure.retryAfterMs() + MS_PER_SECOND - 1) / MS_PER_SECOND;
      exchange.getResponseHeaders().put(RETRY_AFTER, seconds);
    }
    exchange.getResponseSender().send(ByteBuffer.wrap(errorBody(failure, requestId)));
  }

  private static byte[] errorBody(ShoreroadException failure, String requestId) {
    ObjectNode root = MAPPER.createObjectNode();
    ObjectNode error = root.putObject("error");
    error.put("message", failure.getMessage());
    error.put("type", failure.code().httpStatus() < 500 ? "invalid_request_error" : "server_error");
    error.put("code", failure.code().toString());
    error.put("verdict", failure.verdict().toString());
    error.put("request_id", requestId);
    if (failure.retryAfterMs() > 0) {
      error.put("retry_after_ms", failure.retryAfterMs());
    }
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }

  private void onIoThread(Runnable task) {
    try {
      exchange
          .getIoThread()
          .execute(
              () -> {
                if (!isFinished) {
                  task.run();
                }
              });
    } catch (RejectedExecutionException e) {
      // The server is stopping and closes its connections, so no error can be sent.
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  private void writeUnsent() {
    if (isWriting || isFinished) {
      return;
    }
    if (unsent.size() == 0) {
      finishIfRequested();
      return;
    }
    if (!isStarted) {
      isStarted = true;
      exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
      exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-cache");
      exchange.getResponseHeaders().put(REQUEST_ID, requestId);
    }
    ByteBuffer bytes = ByteBuffer.wrap(unsent.toByteArray());
    unsent.reset();
    isWriting = true;
    exchange
        .getResponseSender()
        .send(
            bytes,
            new IoCallback() {
              @Override
              public void onComplete(HttpServerExchange done, Sender sender) {
                onIoThread(
                    () -> {
                      isWriting = false;
                      writeUnsent();
                    });
              }

              @Override
              public void onException(HttpServerExchange done, Sender sender, IOException e) {
                onIoThread(CallerAnswer.this::disconnect);
              }
            });
  }

  private void finishIfRequested() {
    if (isAborting) {
      isFinished = true;
      IoUtils.safeClose(exchange.getConnection());
    } else if (isFinishing) {
      isFinished = true;
      exchange.getResponseSender().close(IoCallback.END_EXCHANGE);
    }
  }

  private void disconnect() {
    if (!isFinished) {
      isFinished = true;
      IoUtils.safeClose(exchange.getConnection());
      onDisconnect.run();
    }
  }
}
