/** The requests a second that upstreams in need take, and the share of one process in them. */
@NullMarked
package org.shoreroad.limit;

import org.jspecify.annotations.NullMarked;
