/** Routes, services, accounts and limits by which opaque HTTP requests are admitted and routed. */
@NullMarked
package org.shoreroad.traffic;

import org.jspecify.annotations.NullMarked;
