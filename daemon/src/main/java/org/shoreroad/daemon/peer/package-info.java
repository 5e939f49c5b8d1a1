/** The links between processes: MessagePack messages in length-prefixed TCP frames. */
@NullMarked
package org.shoreroad.daemon.peer;

import org.jspecify.annotations.NullMarked;
