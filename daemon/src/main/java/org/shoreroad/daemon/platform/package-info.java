/** The clients of the platform: its log and its list of boxes. */
@NullMarked
package org.shoreroad.daemon.platform;

import org.jspecify.annotations.NullMarked;
