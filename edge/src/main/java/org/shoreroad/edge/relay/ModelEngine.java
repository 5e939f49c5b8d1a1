package org.shoreroad.edge.relay;

import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.traffic.UpstreamService;

/**
 * The engines of a service as they run one model.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param spec the figures by which they work, not null
 * @param shape the model, not null
 */
record ModelEngine(EngineSpec spec, ModelShape shape) {
  /** Returns the engines, or null if the service has none or does not declare the model. */
  static @Nullable ModelEngine of(@Nullable UpstreamService service, String model) {
    EngineSpec spec = service == null ? null : service.engine();
    ModelShape shape = spec == null ? null : spec.findModel(model).orElse(null);
    return spec == null || shape == null ? null : new ModelEngine(spec, shape);
  }

  /** Returns how long a pass takes with what an engine has, in milliseconds. */
  double passMs(UpstreamLoad load) {
    return spec.passMs(shape, load.openCount(), load.waitingPromptTokens());
  }

  /**
   * Returns how long a pass takes with every place taken and no prompt waiting, in milliseconds.
   */
  double fullPassMs() {
    return spec.passMs(shape, spec.slots(), 0);
  }
}
