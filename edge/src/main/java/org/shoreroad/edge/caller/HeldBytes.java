package org.shoreroad.edge.caller;

import io.netty.util.internal.PlatformDependent;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.shoreroad.edge.caller.HeldBytesRule.Ending;
import org.shoreroad.edge.caller.HeldBytesRule.Holder;

/**
 * Bytes that are held for the callers of one server, and their bound. Not thread-safe: used on the
 * event loop.
 *
 * @since 0.2
 */
public final class HeldBytes {
  private final HeldBytesRule rule;
  private final Listener listener;
  private long estimatedBytes;
  private long estimatedRequestBytes;

  /** Creates a bound of a server that holds nothing. */
  public HeldBytes(HeldBytesRule rule, Listener listener) {
    this.rule = rule;
    this.listener = listener;
  }

  /** Returns the memory that this process may use for buffers, in bytes. */
  public static long bufferMemoryBytes() {
    return Math.min(PlatformDependent.maxDirectMemory(), Runtime.getRuntime().maxMemory());
  }

  /** Listener to the ends of connections. */
  public interface Listener {
    /** Ignores all events. */
    Listener NONE =
        new Listener() {
          @Override
          public void onEnded(HeldBytesRule.Reason reason, long heldBytes, long unreadMs) {}

          @Override
          public void onRefused() {}
        };

    /**
     * Called when a connection is ended.
     *
     * @param heldBytes the bytes that were held for its caller
     * @param unreadMs the time for which the caller had read nothing, in milliseconds
     */
    void onEnded(HeldBytesRule.Reason reason, long heldBytes, long unreadMs);

    /** Called when a request is refused for lack of memory. */
    void onRefused();
  }

  /** Returns the bytes that are held, including some that were sent since the last check. */
  public long estimatedBytes() {
    return estimatedBytes;
  }

  /**
   * Adds bytes that are held from now on.
   *
   * @return true if the bound may be exceeded, so that a check is needed
   */
  boolean add(long bytes) {
    estimatedBytes += bytes;
    return estimatedBytes > rule.maxBytes();
  }

  /** Adds bytes of a request as {@link #add}. */
  boolean addRequest(long bytes) {
    estimatedRequestBytes += bytes;
    return add(bytes);
  }

  /** Returns true if this many more bytes of requests fit. */
  boolean hasRoomForRequest(long bytes) {
    return estimatedRequestBytes + bytes <= rule.maxRequestBytes()
        && estimatedBytes + bytes <= rule.maxBytes();
  }

  /** Records that a request is refused for lack of memory. */
  void recordRefused() {
    listener.onRefused();
  }

  /** Counts what is held, and ends connections by the rule. */
  void check(Collection<CallerConnection> connections, long nowNanos) {
    List<Holder<CallerConnection>> holders = new ArrayList<>();
    for (CallerConnection connection : connections) {
      Holder<CallerConnection> holder = connection.toHolder(nowNanos);
      if (holder.answerBytes() + holder.requestBytes() > 0) {
        holders.add(holder);
      }
    }
    estimatedBytes = HeldBytesRule.totalBytes(holders);
    estimatedRequestBytes = holders.stream().mapToLong(Holder::requestBytes).sum();
    for (Ending<CallerConnection> ending : rule.choose(holders)) {
      Holder<CallerConnection> holder = ending.holder();
      long heldBytes = holder.answerBytes() + holder.requestBytes();
      estimatedBytes -= heldBytes;
      estimatedRequestBytes -= holder.requestBytes();
      long unreadMs = TimeUnit.NANOSECONDS.toMillis(holder.unreadNanos());
      listener.onEnded(ending.reason(), heldBytes, unreadMs);
      holder.connection().endUnread();
    }
  }
}
