/** The control stream: reading, appending, planning. */
@NullMarked
package org.shoreroad.daemon.control;

import org.jspecify.annotations.NullMarked;
