package org.shoreroad.edge.caller;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decoder of callers' requests. Not thread-safe: used on the event loop.
 *
 * <p>Netty takes the eight bytes after a request with the headers of an obsolete WebSocket
 * handshake for its body, although they belong to the next request.
 */
final class RequestDecoder extends HttpRequestDecoder {
  RequestDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /** Returns true for a request without a length and without a transfer coding (RFC 9112, 6.3). */
  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage request) {
    HttpHeaders headers = request.headers();
    return !headers.contains(HttpHeaderNames.CONTENT_LENGTH)
        && !headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
  }
}
