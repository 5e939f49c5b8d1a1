/** The process that serves opaque HTTP requests on one event loop: its parts and their start. */
@NullMarked
package org.shoreroad.edge;

import org.jspecify.annotations.NullMarked;
