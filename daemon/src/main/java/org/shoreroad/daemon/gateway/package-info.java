/** The gateway: receives, checks, forwards and answers the requests of callers. */
@NullMarked
package org.shoreroad.daemon.gateway;

import org.jspecify.annotations.NullMarked;
