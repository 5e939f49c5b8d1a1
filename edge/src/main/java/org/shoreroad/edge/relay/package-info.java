/** The way of one request: admission, attempts at upstreams, resumption and the answer. */
@NullMarked
package org.shoreroad.edge.relay;

import org.jspecify.annotations.NullMarked;
