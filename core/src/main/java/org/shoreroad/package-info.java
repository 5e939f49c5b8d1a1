/**
 * The value types that all other packages use.
 *
 * <p>Every type in this package is immutable and thread-safe. No code in the core module performs
 * input or output or reads a clock: the caller passes the time as an argument.
 */
@NullMarked
package org.shoreroad;

import org.jspecify.annotations.NullMarked;
