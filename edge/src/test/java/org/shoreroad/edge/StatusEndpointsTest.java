package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.netty.channel.ChannelFuture;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.traffic.CallerLimits;

class StatusEndpointsTest {
  private static final InetSocketAddress ANY =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final StatusEndpoints endpoints =
      new StatusEndpoints(group.next(), System::nanoTime, () -> CallerLimits.DEFAULT);

  @AfterEach
  void stop() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private static HttpResponse<String> get(ChannelFuture opening) throws Exception {
    InetSocketAddress address = (InetSocketAddress) opening.sync().channel().localAddress();
    URI uri = URI.create("http://127.0.0.1:" + address.getPort() + "/");
    return HttpClient.newHttpClient()
        .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
  }

  @Test
  void readinessIsAnsweredByStatus() throws Exception {
    AtomicBoolean isReady = new AtomicBoolean();
    ChannelFuture opening = endpoints.startReadiness(ANY, isReady::get);
    assertThat(get(opening).statusCode(), is(503));
    isReady.set(true);
    assertThat(get(opening).statusCode(), is(200));
  }

  @Test
  void metricsAreServedAsText() throws Exception {
    EdgeMetrics metrics = new EdgeMetrics();
    metrics.count("shoreroad.refusals", "no_place");
    assertThat(
        get(endpoints.startMetrics(ANY, metrics)).body(),
        containsString("shoreroad_refusals_total{reason=\"no_place\"} 1.0"));
  }
}
