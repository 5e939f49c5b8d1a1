/** The gateway's duty: callers' requests, from check to answer. */
@NullMarked
package org.shoreroad.daemon.gateway;

import org.jspecify.annotations.NullMarked;
