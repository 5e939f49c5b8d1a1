/** Relay of requests to upstreams: admission, attempts, resumption of streams and the answer. */
@NullMarked
package org.shoreroad.edge.relay;

import org.jspecify.annotations.NullMarked;
