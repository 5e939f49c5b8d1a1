/**
 * Heartbeats between the edge processes, and the records by which the processes find each other.
 */
@NullMarked
package org.shoreroad.edge.peer;

import org.jspecify.annotations.NullMarked;
