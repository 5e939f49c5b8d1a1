package org.shoreroad.daemon.platform;

import java.util.List;
import org.shoreroad.placement.ListedBox;

/**
 * The platform's list of live and leaving boxes; it lags.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface BoxList {
  /**
   * Returns the list.
   *
   * @return the boxes
   * @throws LogException if the platform does not answer
   */
  List<ListedBox> read();
}
