package org.shoreroad.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encoder of requests to servers. Not thread-safe: used on the event loop.
 *
 * <p>Netty reads the target of a request as one character for each byte and writes it in UTF-8,
 * which alters bytes beyond ASCII. This encoder writes the bytes that were read.
 */
final class RequestEncoder extends HttpRequestEncoder {
  @Override
  protected void encodeInitialLine(ByteBuf out, HttpRequest request) {
    ByteBufUtil.writeAscii(out, request.method().asciiName());
    out.writeByte(' ');
    out.writeCharSequence(request.uri(), StandardCharsets.ISO_8859_1);
    out.writeByte(' ');
    out.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
    out.writeByte('\r');
    out.writeByte('\n');
  }
}
