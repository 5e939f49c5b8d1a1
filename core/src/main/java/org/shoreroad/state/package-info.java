/**
 * The records of the log's control stream and the state machine that applies them.
 *
 * <p>Every process applies the same records in the same order with {@link
 * org.shoreroad.state.StateMachine#apply}, so all processes agree on which of two conflicting
 * records takes effect. A record's offset is its position in the total order. The offset of a
 * configuration change is also the configuration version, and the offset of a record that forms or
 * dissolves a replica is also a fencing number.
 */
@NullMarked
package org.shoreroad.state;

import org.jspecify.annotations.NullMarked;
