/** The membership of processes, and the policy for serving without contact to the log. */
@NullMarked
package org.shoreroad.daemon.member;

import org.jspecify.annotations.NullMarked;
