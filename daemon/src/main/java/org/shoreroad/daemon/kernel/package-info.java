/** The micro-kernel: services that find each other by name, and the threads they own. */
@NullMarked
package org.shoreroad.daemon.kernel;

import org.jspecify.annotations.NullMarked;
