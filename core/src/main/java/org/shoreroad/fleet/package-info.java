/** Boxes, the replicas that they form, and the planning, forming and replacing of replicas. */
@NullMarked
package org.shoreroad.fleet;

import org.jspecify.annotations.NullMarked;
