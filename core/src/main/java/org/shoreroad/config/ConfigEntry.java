package org.shoreroad.config;

/**
 * An entry of a configuration, such as a model or a client account.
 *
 * <p>Implementations are immutable and thread-safe.
 *
 * @since 0.1
 */
public sealed interface ConfigEntry
    permits ModelSpec, AccountSpec, KindSpec, RouteSpec, ServiceSpec, BoxLabels, PolicySpec {
  /** Returns the key, such as {@code model/tremor}, unique within a configuration. */
  String key();
}
