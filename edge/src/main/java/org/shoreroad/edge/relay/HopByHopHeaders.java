package org.shoreroad.edge.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Hop-by-hop headers, which concern one connection and are not forwarded. */
final class HopByHopHeaders {
  private static final List<CharSequence> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          "Keep-Alive",
          "Proxy-Connection",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);

  private HopByHopHeaders() {}

  /** Returns a copy without the hop-by-hop headers, including those named in Connection headers. */
  static HttpHeaders copyWithout(HttpHeaders headers) {
    HttpHeaders copy = new DefaultHttpHeaders(false);
    copy.add(headers);
    for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : listed.split(",")) {
        if (!name.isBlank()) {
          copy.remove(name.trim());
        }
      }
    }
    NAMES.forEach(copy::remove);
    return copy;
  }
}
