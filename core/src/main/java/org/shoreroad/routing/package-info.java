/**
 * Who does what, and where a request goes: derived from what everyone knows, without agreement.
 *
 * <p>Two processes may disagree for a moment; no promise depends on it.
 */
@NullMarked
package org.shoreroad.routing;

import org.jspecify.annotations.NullMarked;
