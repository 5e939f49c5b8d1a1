/**
 * Decisions of the owner of a generation: from the last probe results of its boxes to load orders,
 * proposals for the log, and whether requests may be sent.
 */
@NullMarked
package org.shoreroad.replica;

import org.jspecify.annotations.NullMarked;
