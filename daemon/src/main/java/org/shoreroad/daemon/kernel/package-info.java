/** The service registry and the event loop on which services run. */
@NullMarked
package org.shoreroad.daemon.kernel;

import org.jspecify.annotations.NullMarked;
