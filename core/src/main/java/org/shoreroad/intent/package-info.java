/**
 * At-most-once execution of requests with a key.
 *
 * <p>Before a process runs such a request, it appends an intent to the log stream of the key's
 * shard. The first intent for a key wins. See {@link org.shoreroad.intent.IntentTable} for the rule
 * and {@link org.shoreroad.intent.RequestKey} for the age limit that bounds the table's size.
 */
@NullMarked
package org.shoreroad.intent;

import org.jspecify.annotations.NullMarked;
