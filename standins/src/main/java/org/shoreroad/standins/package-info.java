/**
 * Stand-ins for the system's dependencies: the platform's log and list of boxes, the weight store,
 * the model engines and a plain service. Used by tests and the demonstration; not shipped.
 *
 * <p>Faults of the real dependencies are injected over HTTP under {@code /control/}.
 */
@NullMarked
package org.shoreroad.standins;

import org.jspecify.annotations.NullMarked;
