package org.shoreroad.edge.sync;

import org.shoreroad.fleet.FleetBox;

/**
 * Decoder of the entries of the list of upstreams.
 *
 * @since 0.2
 */
public interface EntryDecoder extends ColdnessDecoder {
  /**
   * Returns the upstream that an entry describes.
   *
   * @throws UnusableEntryException if the entry describes no usable upstream
   */
  FleetBox decode(String id, byte[] entry);
}
