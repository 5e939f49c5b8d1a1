package org.shoreroad.edge.relay;

import org.jspecify.annotations.Nullable;
import org.shoreroad.traffic.TrafficConfig;

/** Fixed configuration for tests, which set whether it is proved to be current. */
final class FakeConfigurationSource implements ConfigurationSource {
  private final @Nullable TrafficConfig config;
  boolean mayTrustKeys = true;
  boolean isProved = true;

  FakeConfigurationSource(@Nullable TrafficConfig config) {
    this.config = config;
  }

  @Override
  public @Nullable TrafficConfig config() {
    return config;
  }

  @Override
  public boolean mayTrustKeys() {
    return mayTrustKeys;
  }

  @Override
  public boolean isProved() {
    return isProved;
  }

  @Override
  public long configAgeMs() {
    return 0;
  }

  @Override
  public int processCount() {
    return 1;
  }
}
