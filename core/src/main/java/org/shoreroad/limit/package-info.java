/** Backpressure from upstreams: rate limits that all processes share, and rests. */
@NullMarked
package org.shoreroad.limit;

import org.jspecify.annotations.NullMarked;
