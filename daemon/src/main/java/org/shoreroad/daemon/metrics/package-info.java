/** The metrics of a process. */
@NullMarked
package org.shoreroad.daemon.metrics;

import org.jspecify.annotations.NullMarked;
