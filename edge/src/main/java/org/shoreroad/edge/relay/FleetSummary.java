package org.shoreroad.edge.relay;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.traffic.UpstreamService;

/**
 * Logs the state of models and boxes, so that a lack of replicas can be analyzed afterwards. Used
 * on the event loop.
 *
 * @since 0.2
 */
public final class FleetSummary {
  private final Fleet fleet;
  private final UpstreamTable table;
  private final DemandMeter demands;
  private final EventLog log;

  /** Creates a summary. */
  public FleetSummary(Fleet fleet, UpstreamTable table, DemandMeter demands, EventLog log) {
    this.fleet = fleet;
    this.table = table;
    this.demands = demands;
    this.log = log;
  }

  /**
   * Logs the open and the suspected heads of each model of the service, with their total load, and
   * the demand for it.
   */
  public void summarize(UpstreamService service) {
    if (service.engine() == null) {
      return;
    }
    for (ModelShape model : service.engine().models()) {
      List<FleetBox> heads = table.candidates(service, model.name());
      int open = 0;
      long waitingTokens = 0;
      int suspected = 0;
      for (FleetBox head : heads) {
        UpstreamLoad load = table.loadOf(head.id());
        open += load.openCount();
        waitingTokens += load.waitingPromptTokens();
        suspected += load.isSuspected() ? 1 : 0;
      }
      log.write(
          "model_state",
          "model",
          model.name(),
          "heads",
          heads.size(),
          "suspected",
          suspected,
          "open",
          open,
          "places",
          heads.size() * service.engine().slots(),
          "waitingTokens",
          waitingTokens);
    }
    demands.summarize(service, log);
  }

  /** Logs the number of boxes in each state. */
  public void summarizeBoxes() {
    Map<String, Integer> counts = new TreeMap<>();
    for (FleetBox box : fleet.boxes()) {
      if (box.domain() != null) {
        counts.merge(describe(box), 1, Integer::sum);
      }
    }
    log.write("fleet_state", "boxes", counts);
  }

  private String describe(FleetBox box) {
    Membership membership = box.membership();
    if (!fleet.isEligible(box.id())) {
      return "off_list";
    }
    if (box.isLeaving()) {
      return "leaving";
    }
    if (membership == null) {
      boolean isBlank = box.model() == null && box.stagedModels().isEmpty();
      return isBlank ? "blank" : "idle";
    }
    return table.isServing(membership.replica())
        ? "serving"
        : membership.state().name().toLowerCase(Locale.ROOT);
  }
}
