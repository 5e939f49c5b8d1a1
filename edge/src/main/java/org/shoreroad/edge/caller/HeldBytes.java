package org.shoreroad.edge.caller;

import io.netty.util.internal.PlatformDependent;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.shoreroad.edge.caller.HeldBytesRule.Ending;
import org.shoreroad.edge.caller.HeldBytesRule.Holder;

/**
 * Bytes that are held for the callers of one server and for other processes, and their bound. Not
 * thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class HeldBytes {
  private final HeldBytesRule rule;
  private final Listener listener;
  private final List<Source> sources = new ArrayList<>(2);
  private long estimatedBytes;
  private long estimatedRequestBytes;
  private long reservedBytes;

  /** Creates a bound of a server that holds nothing. */
  public HeldBytes(HeldBytesRule rule, Listener listener) {
    this.rule = rule;
    this.listener = listener;
  }

  /** Returns the memory that this process may use for buffers, in bytes. */
  public static long bufferMemoryBytes() {
    return Math.min(PlatformDependent.maxDirectMemory(), Runtime.getRuntime().maxMemory());
  }

  /** Bytes that are held apart from the connections of callers, counted at each check. */
  public interface Source {
    /** Returns the bytes of requests. */
    long requestBytes();

    /** Returns the bytes of answers. */
    long answerBytes();
  }

  /** Adds bytes to those that are counted. */
  public void addSource(Source source) {
    sources.add(source);
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
   * Adds bytes that are held from now on, or removes them if negative.
   *
   * @return true if the bound may be exceeded, so that a check is needed
   */
  boolean add(long bytes) {
    estimatedBytes = Math.max(0, estimatedBytes + bytes);
    return estimatedBytes > rule.maxBytes();
  }

  /** Returns the number of bytes that one answer may hold now. */
  long maxAnswerBytes() {
    return rule.maxAnswerBytes(estimatedBytes);
  }

  /** Returns true if an answer of this size fits beside the answers that are still to come. */
  boolean hasRoomForAnswer(long bytes) {
    return estimatedBytes + reservedBytes + bytes <= rule.maxAcceptedBytes();
  }

  /** Adds bytes of an answer that is still to come, or removes them if negative. */
  public void reserve(long bytes) {
    reservedBytes += bytes;
  }

  /** Returns the bytes of answers that are still to come. */
  public long reservedBytes() {
    return reservedBytes;
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
    long otherRequestBytes = sources.stream().mapToLong(Source::requestBytes).sum();
    long otherBytes = otherRequestBytes + sources.stream().mapToLong(Source::answerBytes).sum();
    estimatedBytes = HeldBytesRule.totalBytes(holders) + otherBytes;
    estimatedRequestBytes =
        holders.stream().mapToLong(Holder::requestBytes).sum() + otherRequestBytes;
    for (Ending<CallerConnection> ending : rule.choose(holders, otherBytes)) {
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
