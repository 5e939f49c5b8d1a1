/** The HTTP server side: callers' connections, their requests and the answers to them. */
@NullMarked
package org.shoreroad.edge.caller;

import org.jspecify.annotations.NullMarked;
