/**
 * Membership of the processes: failure detection by pings and gossip (SWIM), the topology of
 * heartbeats, and the claims of fabric domains.
 *
 * <p>The number of pings per process does not depend on the number of processes. The control log
 * defines which processes exist; this package determines which of them are alive.
 */
@NullMarked
package org.shoreroad.member;

import org.jspecify.annotations.NullMarked;
