/** The daemon: its entry point, and how its services are put together. */
@NullMarked
package org.shoreroad.daemon;

import org.jspecify.annotations.NullMarked;
