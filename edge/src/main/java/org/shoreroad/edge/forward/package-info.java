/** Calls to upstreams that another process sends, for a process without a path to them. */
@NullMarked
package org.shoreroad.edge.forward;

import org.jspecify.annotations.NullMarked;
