package org.shoreroad.edge.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shoreroad.fleet.Demand;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.traffic.UpstreamService;

/**
 * Measures the demand for each model of a service over all processes. Used on the event loop.
 *
 * @since 0.2
 */
public final class DemandMeter {
  private final UpstreamTable table;
  private boolean hasTraffic;

  /** Creates a meter that has measured no traffic yet. */
  public DemandMeter(UpstreamTable table) {
    this.table = table;
  }

  /**
   * Returns the pressure on each model of the service: the requests open at its replicas, over all
   * processes, divided by the slots of these replicas. A model without a replica has {@link
   * Demand#NO_REPLICA_PRESSURE}, more than any model with a replica.
   */
  public Demand demand(UpstreamService service) {
    Map<String, Double> pressures = new HashMap<>();
    Map<String, Integer> replicas = new HashMap<>();
    EngineSpec engine = service.engine();
    if (engine == null) {
      return Demand.NONE;
    }
    for (ModelShape model : engine.models()) {
      List<FleetBox> heads = table.candidates(service, model.name());
      int open = heads.stream().mapToInt(head -> table.loadOf(head.id()).openCount()).sum();
      double slots = (double) heads.size() * engine.slots();
      pressures.put(model.name(), slots == 0 ? Demand.NO_REPLICA_PRESSURE : open / slots);
      replicas.put(model.name(), heads.size());
      hasTraffic |= open > 0;
    }
    return new Demand(pressures, replicas, hasTraffic);
  }
}
