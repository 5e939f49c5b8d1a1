package org.shoreroad.edge.path;

import io.netty.handler.codec.http.FullHttpRequest;
import org.shoreroad.edge.forward.ForwardClient;
import org.shoreroad.edge.http.CallListener;
import org.shoreroad.edge.http.UpstreamCall;
import org.shoreroad.edge.http.UpstreamCalls;
import org.shoreroad.fleet.FleetBox;

/**
 * Client of the upstreams that sends each call directly, or through another process if this one has
 * no path to the upstream.
 *
 * <p>Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class RoutedCalls implements UpstreamCalls {
  private final DirectCalls direct;
  private final ForwardClient forwards;

  /** Creates a client. */
  public RoutedCalls(DirectCalls direct, ForwardClient forwards) {
    this.direct = direct;
    this.forwards = forwards;
  }

  @Override
  public UpstreamCall send(
      FleetBox box, FullHttpRequest request, int maxConnections, CallListener listener) {
    return direct.isPathLost(box)
        ? forwards.send(box, request, maxConnections, listener)
        : direct.send(box, request, maxConnections, listener);
  }

  @Override
  public boolean isReachable(FleetBox box) {
    return direct.isReachable(box) || forwards.hasForwarder(box.service());
  }

  @Override
  public boolean isPathLost(FleetBox box) {
    return direct.isPathLost(box);
  }

  @Override
  public void sweep() {
    direct.sweep();
  }
}
