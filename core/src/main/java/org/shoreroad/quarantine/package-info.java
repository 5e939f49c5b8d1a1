/** Quarantine of requests that crash the upstreams that run them. */
@NullMarked
package org.shoreroad.quarantine;

import org.jspecify.annotations.NullMarked;
