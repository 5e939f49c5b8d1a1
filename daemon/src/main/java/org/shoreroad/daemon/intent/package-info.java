/** At-most-once execution: claims on request keys, and the intent streams that record them. */
@NullMarked
package org.shoreroad.daemon.intent;

import org.jspecify.annotations.NullMarked;
