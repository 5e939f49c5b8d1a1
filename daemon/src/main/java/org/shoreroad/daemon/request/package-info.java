/** What a gateway hands to an owner, and how the answer comes back. */
@NullMarked
package org.shoreroad.daemon.request;

import org.jspecify.annotations.NullMarked;
