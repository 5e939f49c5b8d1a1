/** The operators' command line, {@code shoreroadctl}. */
@NullMarked
package org.shoreroad.cli;

import org.jspecify.annotations.NullMarked;
