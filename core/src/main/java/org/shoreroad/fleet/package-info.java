/** Boxes, the replicas they form, and the decisions that form, mend and choose replicas. */
@NullMarked
package org.shoreroad.fleet;

import org.jspecify.annotations.NullMarked;
