/** Probes, orders, the request queue and the running requests of each owned replica. */
@NullMarked
package org.shoreroad.daemon.owner;

import org.jspecify.annotations.NullMarked;
