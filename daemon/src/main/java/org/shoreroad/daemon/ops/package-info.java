/** What operators and the platform see: health, metrics, and the operators' calls. */
@NullMarked
package org.shoreroad.daemon.ops;

import org.jspecify.annotations.NullMarked;
