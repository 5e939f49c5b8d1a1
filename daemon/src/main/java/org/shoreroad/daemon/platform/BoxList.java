package org.shoreroad.daemon.platform;

import java.util.List;
import org.shoreroad.placement.ListedBox;

/**
 * The platform's list of live and leaving boxes; it may be out of date.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface BoxList {
  /**
   * Reads the list.
   *
   * @return the boxes
   * @throws LogException if the list can't be read
   */
  List<ListedBox> read();
}
