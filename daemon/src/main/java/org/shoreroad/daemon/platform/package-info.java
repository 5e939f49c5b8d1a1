/** Clients of the platform's log and its list of boxes. */
@NullMarked
package org.shoreroad.daemon.platform;

import org.jspecify.annotations.NullMarked;
