/** State that this process reads from the platform's store, its age, and the leases on domains. */
@NullMarked
package org.shoreroad.edge.sync;

import org.jspecify.annotations.NullMarked;
