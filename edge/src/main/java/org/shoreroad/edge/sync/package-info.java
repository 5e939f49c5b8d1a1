/** What this process knows from the platform's store, how old it is, and the leases it holds. */
@NullMarked
package org.shoreroad.edge.sync;

import org.jspecify.annotations.NullMarked;
