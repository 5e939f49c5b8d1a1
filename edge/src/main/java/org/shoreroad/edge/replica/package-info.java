/** Formation and repair of replicas: observes engines and sends them orders. */
@NullMarked
package org.shoreroad.edge.replica;

import org.jspecify.annotations.NullMarked;
