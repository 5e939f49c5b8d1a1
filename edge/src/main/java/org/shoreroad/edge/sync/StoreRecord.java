package org.shoreroad.edge.sync;

import org.jspecify.annotations.Nullable;

/**
 * One record of a keyed topic.
 *
 * @param offset its place in the topic
 * @param key its key, not null
 * @param value its value, or null if it takes the key away
 * @since 0.2
 */
public record StoreRecord(long offset, String key, byte @Nullable [] value) {}
