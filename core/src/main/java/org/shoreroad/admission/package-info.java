/**
 * Admission of requests to the replicas of a model by the process that owns their fabric domain:
 * forecast of the time to the first event, room at each head, order under overload, and the time at
 * which refused callers return.
 */
@NullMarked
package org.shoreroad.admission;

import org.jspecify.annotations.NullMarked;
