/** What a process is told at its start, checked. */
@NullMarked
package org.shoreroad.daemon.settings;

import org.jspecify.annotations.NullMarked;
