/** What upstreams in need ask for: limits that all processes share, and times of rest. */
@NullMarked
package org.shoreroad.limit;

import org.jspecify.annotations.NullMarked;
