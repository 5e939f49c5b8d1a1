/** Requests that end the upstreams they run at: their identity, the evidence, the decision. */
@NullMarked
package org.shoreroad.quarantine;

import org.jspecify.annotations.NullMarked;
