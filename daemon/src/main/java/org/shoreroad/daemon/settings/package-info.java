/** The flags and environment variables of a process, and their checks. */
@NullMarked
package org.shoreroad.daemon.settings;

import org.jspecify.annotations.NullMarked;
