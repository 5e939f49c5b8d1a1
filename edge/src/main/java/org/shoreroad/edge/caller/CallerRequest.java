package org.shoreroad.edge.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Complete request as a caller sent it.
 *
 * @param method the method
 * @param uri the path and the query, unaltered
 * @param headers the headers, unaltered
 * @param body the complete body; released by the exchange that answers the request
 * @param arrivedNanos the reading of the steady clock when its head arrived
 * @since 0.2
 */
public record CallerRequest(
    HttpMethod method, String uri, HttpHeaders headers, ByteBuf body, long arrivedNanos) {
  /** Returns the value of the header, or an empty string. */
  public String header(String name) {
    String value = headers.get(name);
    return value == null ? "" : value;
  }
}
