package org.shoreroad.edge.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import org.jspecify.annotations.Nullable;

/**
 * Bytes of answers that are held for one connection of a caller, and the memory that is reserved
 * for the answer to come.
 *
 * <p>Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
final class ConnectionBytes {
  private final CallerServer server;
  private final ReadProgress progress = new ReadProgress();
  private @Nullable Channel channel;
  private long writtenParts;
  private long collectedBytes;
  private long reservedBytes;

  /** Creates an account of a connection for which nothing is held. */
  ConnectionBytes(CallerServer server) {
    this.server = server;
  }

  /** Sets the channel of the connection. */
  void setChannel(Channel opened) {
    channel = opened;
  }

  /** Records that a part of an answer is to be sent, after it was encoded. */
  void recordWritten(int bytes) {
    writtenParts++;
    server.addHeld(bytes);
  }

  /** Adds to the bytes that are collected before they are sent; negative to remove them. */
  void addCollected(long change) {
    collectedBytes = Math.max(0, collectedBytes + change);
    server.addHeld(change);
    if (change > 0) {
      release(Math.min(reservedBytes, change));
    }
  }

  /** Reserves memory for the answer to come; returns false if there is none. */
  boolean reserve(long expectedBytes) {
    if (!server.reserveAnswer(expectedBytes)) {
      return false;
    }
    reservedBytes += expectedBytes;
    return true;
  }

  /** Records that nothing more is collected for the answer, which has ended. */
  void endAnswer() {
    collectedBytes = 0;
    release(reservedBytes);
  }

  private void release(long bytes) {
    reservedBytes -= bytes;
    server.held().reserve(-bytes);
  }

  /** Returns the bytes that are held as a part of those that one answer may hold now. */
  double bufferFill() {
    return server.bufferFill(collectedBytes + pendingBytes());
  }

  /** Returns the bytes that were written and that the kernel has not taken. */
  long pendingBytes() {
    ChannelOutboundBuffer pending = outboundBuffer();
    return pending == null ? 0 : pending.totalPendingWriteBytes();
  }

  private @Nullable ChannelOutboundBuffer outboundBuffer() {
    return channel == null ? null : channel.unsafe().outboundBuffer();
  }

  /**
   * Returns what is held for the caller, and records what it has read since the last check.
   *
   * @param requestBytes the bytes of requests that have not been answered
   */
  HeldBytesRule.Holder<CallerConnection> toHolder(
      CallerConnection connection, long requestBytes, long nowNanos) {
    if (channel != null) {
      // Parts that are not flushed would count as sent.
      channel.flush();
    }
    ChannelOutboundBuffer pending = outboundBuffer();
    if (pending != null) {
      progress.update(
          pending.totalPendingWriteBytes(),
          writtenParts - pending.size(),
          pending.currentProgress(),
          nowNanos);
    }
    return new HeldBytesRule.Holder<>(
        connection, pendingBytes() + collectedBytes, requestBytes, progress.unreadNanos());
  }
}
