/**
 * The control stream of the log: its records, and the pure function that turns them into state.
 *
 * <p>Every process applies the same records in the same order with {@link
 * org.shoreroad.state.StateMachine#apply}, so every process decides alike which of two conflicting
 * records counts. An offset is at once a position in the total order, a configuration version and a
 * fencing number.
 */
@NullMarked
package org.shoreroad.state;

import org.jspecify.annotations.NullMarked;
