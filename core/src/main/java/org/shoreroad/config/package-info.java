/**
 * What operators declare: its types, its file form, its faults, and the difference of two of it.
 *
 * <p>A configuration is a set of {@link org.shoreroad.config.ConfigEntry entries}, each with a key.
 * What travels through the log is only the entries that a change touches.
 */
@NullMarked
package org.shoreroad.config;

import org.jspecify.annotations.NullMarked;
