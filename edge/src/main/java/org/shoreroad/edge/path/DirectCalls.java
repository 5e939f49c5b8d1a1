package org.shoreroad.edge.path;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.http.CallFailure;
import org.shoreroad.edge.http.CallListener;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.http.UpstreamCall;
import org.shoreroad.edge.http.UpstreamCalls;
import org.shoreroad.fleet.FleetBox;

/**
 * Client of the upstreams on connections of this process, which records what is received from them.
 *
 * <p>Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class DirectCalls implements UpstreamCalls {
  private final HttpCalls calls;
  private final UpstreamPaths paths;
  private final LongSupplier clockNanos;

  /** Creates a client. */
  public DirectCalls(HttpCalls calls, UpstreamPaths paths, LongSupplier clockNanos) {
    this.calls = calls;
    this.paths = paths;
    this.clockNanos = clockNanos;
  }

  @Override
  public UpstreamCall send(
      FleetBox box, FullHttpRequest request, int maxConnections, CallListener listener) {
    DirectCall call = new DirectCall(paths.register(box), listener);
    call.start(calls.send(box.address(), request, maxConnections, call));
    return call;
  }

  @Override
  public boolean isReachable(FleetBox box) {
    return !paths.isLost(box);
  }

  @Override
  public boolean isPathLost(FleetBox box) {
    return paths.isLost(box);
  }

  @Override
  public void sweep() {
    calls.sweep();
  }

  /** Call on a connection of this process, which records what is received. */
  private final class DirectCall implements UpstreamCall, CallListener {
    private final ServicePath path;
    private final CallListener listener;
    private @Nullable UpstreamCall call;
    private boolean isOver;

    DirectCall(ServicePath path, CallListener listener) {
      this.path = path;
      this.listener = listener;
      path.recordCall(clockNanos.getAsLong());
    }

    void start(UpstreamCall started) {
      call = started;
    }

    private void end() {
      if (!isOver) {
        isOver = true;
        path.recordEnd();
      }
    }

    @Override
    public void cancel() {
      end();
      if (call != null) {
        call.cancel();
      }
    }

    @Override
    public void setReading(boolean isReading) {
      if (call != null) {
        call.setReading(isReading);
      }
    }

    @Override
    public boolean isSent() {
      return call != null && call.isSent();
    }

    @Override
    public boolean isDirect() {
      return true;
    }

    @Override
    public boolean onSending() {
      return listener.onSending();
    }

    @Override
    public boolean onHead(HttpResponse head) {
      path.recordReceived(clockNanos.getAsLong());
      return listener.onHead(head);
    }

    @Override
    public void onContent(ByteBuf content) {
      path.recordReceived(clockNanos.getAsLong());
      listener.onContent(content);
    }

    @Override
    public void onEnd() {
      end();
      listener.onEnd();
    }

    @Override
    public void onFailure(CallFailure failure) {
      end();
      listener.onFailure(failure);
    }
  }
}
