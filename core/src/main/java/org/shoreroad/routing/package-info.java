/**
 * Assignment of generations to processes, and choice of an upstream for each request.
 *
 * <p>Each process computes both from its own copy of the shared state, without consensus. The
 * results of two processes may differ for a moment; no guarantee depends on their being equal.
 */
@NullMarked
package org.shoreroad.routing;

import org.jspecify.annotations.NullMarked;
