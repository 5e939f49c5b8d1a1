/** Reads, appends to and checkpoints the control stream, and plans replicas. */
@NullMarked
package org.shoreroad.daemon.control;

import org.jspecify.annotations.NullMarked;
