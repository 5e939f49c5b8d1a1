/** Who lives, and whether this process is in contact. */
@NullMarked
package org.shoreroad.daemon.member;

import org.jspecify.annotations.NullMarked;
