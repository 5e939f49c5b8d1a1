/**
 * Small stand-ins for what surrounds the system: the platform's log and list of boxes, the weight
 * store, the model engines and a plain service. Used by tests and the demonstration; not shipped.
 *
 * <p>Each can be told, over HTTP under {@code /control/}, to fail in the ways the real thing may.
 */
@NullMarked
package org.shoreroad.standins;

import org.jspecify.annotations.NullMarked;
