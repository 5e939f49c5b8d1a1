package org.shoreroad.placement;

import org.shoreroad.Box;

/**
 * Box as listed by the platform; the list lags behind.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param box the box
 * @param isLeaving whether the platform is about to remove the box
 * @since 0.1
 */
public record ListedBox(Box box, boolean isLeaving) {}
