/**
 * At most once: intents in sharded streams of the log, of which the first for a key wins.
 *
 * <p>See {@link org.shoreroad.intent.IntentTable} for the rule and {@link
 * org.shoreroad.intent.RequestKey} for what bounds the table.
 */
@NullMarked
package org.shoreroad.intent;

import org.jspecify.annotations.NullMarked;
