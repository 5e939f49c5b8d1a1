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
 * Writes an answer to a caller.
 *
 * <p>Everything that touches the connection happens on its own I/O thread, one write at a time.
 * What waits for a slow caller is bounded. An answer that breaks off in the middle ends with an
 * error event and a connection that is cut without the final chunk, so that no client can take it
 * for whole. Thread-safe.
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
  private final Runnable onGone;
  private final ByteArrayOutputStream unsent = new ByteArrayOutputStream();
  private boolean isStarted;
  private boolean isWriting;
  private boolean isFinishing;
  private boolean isCutting;
  private boolean isOver;

  /**
   * Creates the answer to an exchange that was dispatched.
   *
   * @param exchange the exchange
   * @param requestId the request's id
   * @param maxUnsentBytes how much may wait for a slow caller
   * @param onGone called once if the caller has gone or is too slow
   */
  CallerAnswer(
      HttpServerExchange exchange, String requestId, long maxUnsentBytes, Runnable onGone) {
    this.exchange = exchange;
    this.requestId = requestId;
    this.maxUnsentBytes = maxUnsentBytes;
    this.onGone = onGone;
  }

  /** Sends a piece of a stream of events. */
  void sendEvent(byte[] bytes) {
    onIoThread(
        () -> {
          unsent.writeBytes(bytes);
          if (unsent.size() > maxUnsentBytes) {
            giveUp();
          } else {
            pump();
          }
        });
  }

  /** Ends a stream of events as whole. */
  void endEvents() {
    onIoThread(
        () -> {
          unsent.writeBytes(DONE);
          isFinishing = true;
          pump();
        });
  }

  /** Sends a whole answer at once. */
  void sendWhole(int status, String contentType, byte[] bytes) {
    onIoThread(
        () -> {
          isStarted = true;
          isOver = true;
          exchange.setStatusCode(status);
          exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, contentType);
          exchange.getResponseHeaders().put(REQUEST_ID, requestId);
          exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
        });
  }

  /** Ends the answer with an error, as a response of its own or in the middle of the events. */
  void fail(ShoreroadException failure) {
    onIoThread(
        () -> {
          byte[] body = errorBody(failure, requestId);
          if (!isStarted) {
            isOver = true;
            sendError(exchange, failure, requestId);
          } else {
            unsent.writeBytes("data: ".getBytes(StandardCharsets.UTF_8));
            unsent.writeBytes(body);
            unsent.writeBytes("\n\n".getBytes(StandardCharsets.UTF_8));
            isCutting = true;
            pump();
          }
        });
  }

  /** Sends an error as a whole response; on the I/O thread of an exchange that has none yet. */
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
                if (!isOver) {
                  task.run();
                }
              });
    } catch (RejectedExecutionException e) {
      // The server is stopping at once: its connections are cut, and nobody can be told.
      IoUtils.safeClose(exchange.getConnection());
    }
  }

  private void pump() {
    if (isWriting || isOver) {
      return;
    }
    if (unsent.size() == 0) {
      finishIfDue();
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
                      pump();
                    });
              }

              @Override
              public void onException(HttpServerExchange done, Sender sender, IOException e) {
                onIoThread(CallerAnswer.this::giveUp);
              }
            });
  }

  private void finishIfDue() {
    if (isCutting) {
      isOver = true;
      IoUtils.safeClose(exchange.getConnection());
    } else if (isFinishing) {
      isOver = true;
      exchange.getResponseSender().close(IoCallback.END_EXCHANGE);
    }
  }

  private void giveUp() {
    if (!isOver) {
      isOver = true;
      IoUtils.safeClose(exchange.getConnection());
      onGone.run();
    }
  }
}
