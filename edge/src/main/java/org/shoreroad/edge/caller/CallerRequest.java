package org.shoreroad.edge.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole request as a caller sent it.
 *
 * @param method the method
 * @param uri the path and the query, unaltered
 * @param headers the headers, unaltered
 * @param body the whole body; released by the exchange that answers the request
 * @param arrivedNanos when its head was read, on the steady clock
 * @since 0.2
 */
public record CallerRequest(
    HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, long arrivedNanos) {
  /** Returns the header's value, or an empty text. */
  public String header(String name) {
    String value = headers.get(name);
    return value == null ? "" : value;
  }
}
