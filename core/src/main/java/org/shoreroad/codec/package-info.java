/** Helpers for messages in the MessagePack format. */
@NullMarked
package org.shoreroad.codec;

import org.jspecify.annotations.NullMarked;
