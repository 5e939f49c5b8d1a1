package org.shoreroad.edge.room;

/**
 * When the owners of fabric domains grant the room at their heads.
 *
 * @since 0.2
 */
public enum RoomMode {
  /** Each process always chooses by itself on load reports. */
  NEVER,
  /** While the demand for a service is uneven, so that callers compete for room at times. */
  WHILE_UNEVEN,
  /** Always, because the contract of the deployment says that callers compete for room. */
  ALWAYS
}
