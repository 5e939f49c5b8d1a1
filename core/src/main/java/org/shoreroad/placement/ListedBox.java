package org.shoreroad.placement;

import org.shoreroad.Box;

/**
 * A box as the platform's lagging list shows it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param box the box
 * @param isLeaving whether the platform is about to take it away
 * @since 0.1
 */
public record ListedBox(Box box, boolean isLeaving) {}
