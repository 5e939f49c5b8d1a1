/** Bounds on what the clients of this process read. */
@NullMarked
package org.shoreroad.daemon.http;

import org.jspecify.annotations.NullMarked;
