/**
 * Which processes of the system are alive: heartbeats to one random peer at a time, suspicion, and
 * rumors carried along.
 *
 * <p>The cost for each process does not depend on how many there are. Who exists is told by the
 * log; this package only tells who lives.
 */
@NullMarked
package org.shoreroad.member;

import org.jspecify.annotations.NullMarked;
