/** The request that a gateway sends to an owner, and the receiver of its answer. */
@NullMarked
package org.shoreroad.daemon.request;

import org.jspecify.annotations.NullMarked;
