/**
 * Bounded queue in front of one replica, with priorities, fair shares, deadlines and retry delays.
 */
@NullMarked
package org.shoreroad.queue;

import org.jspecify.annotations.NullMarked;
