/**
 * The queue in front of one replica: precedence, fairness, bounds, deadlines, and when to come
 * back.
 */
@NullMarked
package org.shoreroad.queue;

import org.jspecify.annotations.NullMarked;
