/**
 * The configuration that operators declare: its entries, its YAML and JSON forms, its validation
 * and the difference of two configurations.
 *
 * <p>A configuration is a set of {@link org.shoreroad.config.ConfigEntry entries}, each with a key.
 * A configuration record in the log contains only the entries that a change adds, replaces or
 * removes.
 */
@NullMarked
package org.shoreroad.config;

import org.jspecify.annotations.NullMarked;
