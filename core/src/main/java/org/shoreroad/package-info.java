/**
 * The value types that the rest of shoreroad is written in; read these first.
 *
 * <p>Every type here is immutable and thread-safe. Nothing in this package, or in any other package
 * of the core module, performs input or output or reads a clock: the caller passes the time in.
 */
@NullMarked
package org.shoreroad;

import org.jspecify.annotations.NullMarked;
