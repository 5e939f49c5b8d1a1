/** Cold upstreams: evidence that an upstream has just started, and the rate that it bears then. */
@NullMarked
package org.shoreroad.cold;

import org.jspecify.annotations.NullMarked;
