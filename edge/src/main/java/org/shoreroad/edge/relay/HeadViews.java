package org.shoreroad.edge.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.shoreroad.edge.sync.DomainIndex;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.traffic.UpstreamService;

/**
 * The open heads of each model, as this process observes them. Used on the event loop.
 *
 * @since 0.2
 */
public final class HeadViews {
  private final UpstreamTable table;
  private final Backpressure backpressure;
  private final LongSupplier clockNanos;

  /** Creates views of the heads in the table. */
  public HeadViews(UpstreamTable table, Backpressure backpressure, LongSupplier clockNanos) {
    this.table = table;
    this.backpressure = backpressure;
    this.clockNanos = clockNanos;
  }

  /**
   * Returns the open heads of a model.
   *
   * @param service a service with engines, not null
   * @param model the model, not null
   */
  public List<HeadView> of(UpstreamService service, String model) {
    List<HeadView> views = new ArrayList<>();
    for (FleetBox box : table.candidates(service, model)) {
      String domain = box.domain();
      if (domain != null) {
        views.add(view(box, DomainIndex.keyOf(box.service(), domain)));
      }
    }
    return views;
  }

  /**
   * Returns the open heads of a model, of which some are not usable because they are being closed.
   *
   * @param closingIds the ids of the heads that are being closed, not null
   */
  public List<HeadView> of(UpstreamService service, String model, Set<String> closingIds) {
    List<HeadView> views = of(service, model);
    views.replaceAll(head -> closingIds.contains(head.id()) ? head.withoutUse() : head);
    return views;
  }

  private HeadView view(FleetBox box, String domain) {
    long nowNanos = clockNanos.getAsLong();
    UpstreamLoad load = table.loadOf(box.id());
    boolean isUsable =
        !load.isSuspectedAt(nowNanos) && !load.isAvoided(nowNanos) && backpressure.mayGrant(box);
    return new HeadView(
        box.id(),
        domain,
        box.zone(),
        load.openCount(),
        load.peerGrantedCount(),
        load.waitingPromptTokens(),
        load.pace().slowness(nowNanos),
        backpressure.grantsPerSecond(box),
        isUsable);
  }
}
