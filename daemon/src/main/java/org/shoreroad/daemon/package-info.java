/** The daemon: its entry point and the assembly of its services. */
@NullMarked
package org.shoreroad.daemon;

import org.jspecify.annotations.NullMarked;
