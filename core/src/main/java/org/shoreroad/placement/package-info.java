/** Which boxes form which replica: a pure function from what is declared and listed to changes. */
@NullMarked
package org.shoreroad.placement;

import org.jspecify.annotations.NullMarked;
