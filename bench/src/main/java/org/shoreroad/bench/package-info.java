/**
 * Benchmarks: the policies of the core against simple baselines, the slopes for docs/CAPACITY.md,
 * and the latency of the whole request path against direct calls.
 */
@NullMarked
package org.shoreroad.bench;

import org.jspecify.annotations.NullMarked;
