package org.shoreroad.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.shoreroad.edge.caller.AnswerChannel;
import org.shoreroad.edge.caller.AnsweredExchange;
import org.shoreroad.edge.caller.CallerExchange;
import org.shoreroad.edge.caller.CallerRequest;
import org.shoreroad.edge.caller.CallerServer;
import org.shoreroad.traffic.CallerLimits;

/** Ports for the readiness check and the metrics of a process. Used on the event loop. */
final class StatusEndpoints {
  private static final String PROMETHEUS_TEXT = "text/plain; version=0.0.4";

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final Supplier<CallerLimits> limits;

  /** Creates endpoints; each start opens one port. */
  StatusEndpoints(EventLoop loop, LongSupplier clockNanos, Supplier<CallerLimits> limits) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.limits = limits;
  }

  /** Opens the port that answers 200 while the process is ready and 503 otherwise. */
  ChannelFuture startReadiness(InetSocketAddress address, BooleanSupplier isReady) {
    return start(
        address,
        answers ->
            answers.answer(
                isReady.getAsBoolean()
                    ? HttpResponseStatus.OK
                    : HttpResponseStatus.SERVICE_UNAVAILABLE,
                new DefaultHttpHeaders(),
                Unpooled.EMPTY_BUFFER));
  }

  /** Opens the port that serves the metrics as Prometheus text. */
  ChannelFuture startMetrics(InetSocketAddress address, EdgeMetrics metrics) {
    return start(
        address,
        answers -> {
          HttpHeaders headers =
              new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, PROMETHEUS_TEXT);
          ByteBuf text = Unpooled.copiedBuffer(metrics.toPrometheusText(), StandardCharsets.UTF_8);
          answers.answer(HttpResponseStatus.OK, headers, text);
        });
  }

  /** Handler that answers a request at once. */
  private interface Responder {
    void answer(AnswerChannel answers);
  }

  private ChannelFuture start(InetSocketAddress address, Responder responder) {
    return new CallerServer(
            loop,
            clockNanos,
            limits,
            (request, answers) -> respond(request, answers, responder),
            reason -> {})
        .start(address);
  }

  private static CallerExchange respond(
      CallerRequest request, AnswerChannel answers, Responder responder) {
    request.body().release();
    responder.answer(answers);
    return AnsweredExchange.INSTANCE;
  }
}
