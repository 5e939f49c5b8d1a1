/**
 * Room at replica heads that is shared by all processes: the messages, the service of the process
 * that owns a fabric domain, and the client in the process that received a request.
 */
@NullMarked
package org.shoreroad.edge.room;

import org.jspecify.annotations.NullMarked;
