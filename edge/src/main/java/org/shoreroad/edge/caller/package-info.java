/** HTTP server: the connections of callers, their requests and the answers. */
@NullMarked
package org.shoreroad.edge.caller;

import org.jspecify.annotations.NullMarked;
