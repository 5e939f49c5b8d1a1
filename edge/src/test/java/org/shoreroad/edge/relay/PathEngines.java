package org.shoreroad.edge.relay;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.replica.Engines;
import org.shoreroad.fleet.BoxOrder;
import org.shoreroad.fleet.FleetBox;

/** Engines without any change of state, which answer a process unless its paths are cut. */
final class PathEngines implements Engines {
  private static final int TIMEOUT_MS = 120;

  private final EventLoop loop;
  private final Supplier<PathProxy.@Nullable Cut> cut;

  PathEngines(EventLoop loop, Supplier<PathProxy.@Nullable Cut> cut) {
    this.loop = loop;
    this.cut = cut;
  }

  @Override
  public void requestReport(FleetBox box, ReportCallback callback) {
    PathProxy.Cut current = cut.get();
    if (current == null) {
      loop.execute(() -> callback.onReport(box));
    } else if (current == PathProxy.Cut.HANG) {
      loop.schedule(
          () -> callback.onFailure(ReportFailure.NO_ANSWER), TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } else {
      loop.execute(() -> callback.onFailure(ReportFailure.REFUSED));
    }
  }

  @Override
  public void order(FleetBox box, BoxOrder order, long fence, OrderCallback callback) {
    loop.execute(
        () -> callback.onOutcome(cut.get() == null ? OrderOutcome.TAKEN : OrderOutcome.UNANSWERED));
  }
}
