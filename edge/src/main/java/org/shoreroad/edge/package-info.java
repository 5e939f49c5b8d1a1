/** The serving process for opaque HTTP requests: one event loop, its parts and how they start. */
@NullMarked
package org.shoreroad.edge;

import org.jspecify.annotations.NullMarked;
