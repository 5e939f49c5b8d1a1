/**
 * Configuration for admission and routing of opaque HTTP requests: routes, services, accounts and
 * limits.
 */
@NullMarked
package org.shoreroad.traffic;

import org.jspecify.annotations.NullMarked;
