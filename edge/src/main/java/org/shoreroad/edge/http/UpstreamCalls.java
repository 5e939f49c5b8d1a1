package org.shoreroad.edge.http;

import io.netty.handler.codec.http.FullHttpRequest;
import org.shoreroad.fleet.FleetBox;

/**
 * Client of the upstreams. Never retries. Used on the event loop.
 *
 * @since 0.2
 */
public interface UpstreamCalls {
  /**
   * Sends a request.
   *
   * @param box the upstream, not null
   * @param request the request, released by this client, not null
   * @param maxConnections the maximum number of connections of this process to the upstream
   * @param listener the listener to the progress of the call, not null
   * @return the call, which can be cancelled
   */
  UpstreamCall send(
      FleetBox box, FullHttpRequest request, int maxConnections, CallListener listener);

  /**
   * Returns true if a request to the upstream may reach it now.
   *
   * @param box the upstream, not null
   */
  default boolean isReachable(FleetBox box) {
    return true;
  }

  /**
   * Returns true if this process has no connection to the upstream and can't open one.
   *
   * @param box the upstream, not null
   */
  default boolean isPathLost(FleetBox box) {
    return false;
  }

  /** Closes connections that were idle for too long. */
  void sweep();
}
