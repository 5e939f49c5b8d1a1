package org.shoreroad.edge.relay;

import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.traffic.UpstreamService;

/**
 * Computes the timing of the engines of a service that run one model.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param spec the specification of the engines, not null
 * @param shape the model, not null
 */
record ModelEngine(EngineSpec spec, ModelShape shape) {
  /** Returns an instance, or null if the service has no engines or does not declare the model. */
  static @Nullable ModelEngine of(@Nullable UpstreamService service, String model) {
    EngineSpec spec = service == null ? null : service.engine();
    ModelShape shape = spec == null ? null : spec.findModel(model).orElse(null);
    return spec == null || shape == null ? null : new ModelEngine(spec, shape);
  }

  /** Returns the duration of a pass under the load of an engine, in milliseconds. */
  double passMs(UpstreamLoad load) {
    return spec.passMs(shape, load.openCount(), load.waitingPromptTokens());
  }

  /** Returns the duration of a pass with all slots taken and no prompt waiting, in milliseconds. */
  double fullPassMs() {
    return spec.passMs(shape, spec.slots(), 0);
  }
}
