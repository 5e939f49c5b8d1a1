/**
 * HTTP client: keep-alive connections to upstreams and the platform, one call at a time on each.
 */
@NullMarked
package org.shoreroad.edge.http;

import org.jspecify.annotations.NullMarked;
