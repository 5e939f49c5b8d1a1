/**
 * How the owner of a generation decides: from what its boxes last showed to orders, proposals and
 * whether work may be sent.
 */
@NullMarked
package org.shoreroad.replica;

import org.jspecify.annotations.NullMarked;
