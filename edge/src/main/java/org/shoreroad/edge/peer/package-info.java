/** Heartbeats between the processes of the system. */
@NullMarked
package org.shoreroad.edge.peer;

import org.jspecify.annotations.NullMarked;
