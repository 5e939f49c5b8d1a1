/** Carries out the orders that form and mend replicas. */
@NullMarked
package org.shoreroad.edge.replica;

import org.jspecify.annotations.NullMarked;
