package org.shoreroad.edge.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.http.CallFailure;
import org.shoreroad.edge.http.CallListener;
import org.shoreroad.edge.http.UpstreamCall;
import org.shoreroad.fleet.FleetBox;

/**
 * Call of this process that another one sends to the upstream.
 *
 * <p>If the process can't send it, the call goes to the next one. Not thread-safe: used on the
 * event loop.
 */
final class ForwardedCall implements UpstreamCall {
  /** Maximum bytes of the body in one message, well below the maximum size of a frame. */
  private static final int MAX_PART_BYTES = 262_144;

  private final ForwardClient client;
  private final long number;
  private final FleetBox box;
  private final FullHttpRequest request;
  private final int maxConnections;
  private final CallListener listener;
  private final Set<String> tried = new HashSet<>();
  private @Nullable Forwarder forwarder;
  private boolean isPermitted;
  private boolean isSent;
  private boolean hasHead;
  private boolean isOver;

  ForwardedCall(
      ForwardClient client,
      long number,
      FleetBox box,
      FullHttpRequest request,
      int maxConnections,
      CallListener listener) {
    this.client = client;
    this.number = number;
    this.box = box;
    this.request = request;
    this.maxConnections = maxConnections;
    this.listener = listener;
  }

  /** Sends the call through a process that was not tried yet. */
  void start() {
    if (isOver) {
      return;
    }
    Forwarder next = client.choose(box.service(), tried);
    if (next == null) {
      fail(CallFailure.Reason.PATH_LOST, false);
      return;
    }
    if (!isPermitted && !listener.onSending()) {
      fail(CallFailure.Reason.WITHDRAWN, false);
      return;
    }
    isPermitted = true;
    tried.add(next.name());
    forwarder = next;
    isSent = true;
    next.add(number, this);
    if (!sendTo(next)) {
      next.remove(number);
      forwarder = null;
      isSent = false;
      start();
    }
  }

  private boolean sendTo(Forwarder next) {
    byte[] body = ByteBufUtil.getBytes(request.content());
    int partBytes = Math.min(body.length, MAX_PART_BYTES);
    boolean isTaken =
        next.send(
            new ForwardMessage.Call(
                number,
                box.id(),
                request.method().name(),
                request.uri(),
                HeaderFields.toList(request.headers()),
                maxConnections,
                body.length,
                Arrays.copyOf(body, partBytes)));
    for (int at = partBytes; isTaken && at < body.length; at += MAX_PART_BYTES) {
      int end = Math.min(body.length, at + MAX_PART_BYTES);
      isTaken = next.send(new ForwardMessage.Body(number, Arrays.copyOfRange(body, at, end)));
    }
    return isTaken;
  }

  /** Returns true if more than one process was asked to send the call. */
  boolean isRetried() {
    return tried.size() > 1;
  }

  FleetBox box() {
    return box;
  }

  void onHead(ForwardMessage.Head head) {
    if (isOver) {
      return;
    }
    if (hasHead || !head.isWellFormed() || !listener.onHead(toResponse(head))) {
      failMalformed();
    }
    hasHead = true;
  }

  private static HttpResponse toResponse(ForwardMessage.Head head) {
    DefaultHttpResponse response =
        new DefaultHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(head.status(), head.reasonPhrase()));
    HeaderFields.addTo(response.headers(), head.headers());
    return response;
  }

  private void failMalformed() {
    abandon();
    fail(CallFailure.Reason.MALFORMED, true);
  }

  void onContent(byte[] bytes) {
    if (!isOver && !hasHead) {
      failMalformed();
    } else if (!isOver) {
      ByteBuf content = Unpooled.wrappedBuffer(bytes);
      listener.onContent(content);
      content.release();
    }
  }

  void onEnd() {
    if (!isOver && !hasHead) {
      failMalformed();
    } else if (!isOver) {
      end();
      listener.onEnd();
    }
  }

  /** Sends the call through another process, since this one sent nothing of it. */
  void onUnsent() {
    detach();
    isSent = false;
    start();
  }

  void fail(CallFailure.Reason reason, boolean mayHaveRun) {
    if (!isOver) {
      isSent = mayHaveRun;
      end();
      listener.onFailure(new CallFailure(reason, mayHaveRun));
    }
  }

  @Override
  public void cancel() {
    if (!isOver) {
      abandon();
      end();
    }
  }

  private void abandon() {
    if (forwarder != null) {
      forwarder.send(new ForwardMessage.Cancel(number));
    }
  }

  private void end() {
    isOver = true;
    detach();
    request.release();
  }

  private void detach() {
    if (forwarder != null) {
      forwarder.remove(number);
      forwarder = null;
    }
  }

  @Override
  public void setReading(boolean isReading) {
    if (forwarder != null) {
      forwarder.send(new ForwardMessage.Reading(number, isReading));
    }
  }

  @Override
  public boolean isSent() {
    return isSent;
  }

  @Override
  public boolean isDirect() {
    return false;
  }
}
