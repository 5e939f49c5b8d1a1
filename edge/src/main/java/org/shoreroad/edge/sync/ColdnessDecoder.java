package org.shoreroad.edge.sync;

/**
 * Decoder of the coldness that entries of the list state.
 *
 * @since 0.2
 */
public interface ColdnessDecoder {
  /**
   * Returns how long an upstream states to stay cold.
   *
   * @param id the id of the upstream, not null
   * @param entry the encoded entry, not null
   * @return the time in milliseconds, 0 or more, or -1 if the entry states none
   */
  default long coldRemainingMs(String id, byte[] entry) {
    return -1;
  }
}
