/** At most once: the keepers of the intent streams and the claims made to them. */
@NullMarked
package org.shoreroad.daemon.intent;

import org.jspecify.annotations.NullMarked;
