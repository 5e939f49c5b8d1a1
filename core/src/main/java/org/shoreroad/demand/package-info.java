/**
 * Measurement of the requests for each model: counts, rates, their trend, and the capacity needed.
 */
@NullMarked
package org.shoreroad.demand;

import org.jspecify.annotations.NullMarked;
