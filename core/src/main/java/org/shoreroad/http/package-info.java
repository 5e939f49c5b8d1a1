/** Grammar of HTTP messages (RFC 9110), for all modules that read them. */
@NullMarked
package org.shoreroad.http;

import org.jspecify.annotations.NullMarked;
