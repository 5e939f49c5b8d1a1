/** Network paths of this process to the upstreams, and calls by the path that works. */
@NullMarked
package org.shoreroad.edge.path;

import org.jspecify.annotations.NullMarked;
