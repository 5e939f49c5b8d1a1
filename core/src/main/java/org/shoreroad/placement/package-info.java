/** Placement of replicas on boxes, computed from the configuration and the list of boxes. */
@NullMarked
package org.shoreroad.placement;

import org.jspecify.annotations.NullMarked;
