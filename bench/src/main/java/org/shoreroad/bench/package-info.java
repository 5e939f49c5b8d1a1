/**
 * Measurements: each decision of the core against a plain baseline, the slopes behind
 * docs/CAPACITY.md, and the whole path against direct calls.
 */
@NullMarked
package org.shoreroad.bench;

import org.jspecify.annotations.NullMarked;
