package org.shoreroad.edge.sync;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.shoreroad.edge.EventLog;

/**
 * Follows a keyed topic of the store: first the newest of each key, then every record.
 *
 * <p>A long wait in the store tells a change at once; when no change comes, its end still proves
 * that nothing was missed. The proof counts from the sending of the read. Used on the event loop.
 *
 * @since 0.2
 */
public final class TopicFollower {
  /** The pause after a fault; doubled up to the longest, so that a store in need is left alone. */
  private static final int SHORTEST_PAUSE_MS = 100;

  private static final int LONGEST_PAUSE_MS = 800;

  /** What a peer told counts this long: five heartbeats. */
  private static final long TOLD_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** While this process does not read the topic, it checks this often whether it has to again. */
  private static final int TOLD_CHECK_MS = 200;

  private final Topic topic;
  private final Store store;
  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final int waitMs;
  private final IntSupplier minIntervalMs;
  private final Listener listener;
  private final Set<String> listedKeys = new HashSet<>();
  private long nextOffset = -1;
  private long provenNanos;
  private boolean isCurrent;
  private boolean isReachable;
  private boolean readsItself = true;
  private long reachableSinceNanos;
  private int pauseMs = SHORTEST_PAUSE_MS;
  private BooleanSupplier isSpared = () -> false;
  private BooleanSupplier isNeedless = () -> false;
  private long longestRestNanos;
  private long toldProofNanos;
  private long toldNanos = Long.MIN_VALUE / 2;
  private long toldReachableNanos;

  /**
   * Creates a follower; {@link #start} begins.
   *
   * @param waitMs how long a read waits in the store, in milliseconds
   * @param minIntervalMs supplies the minimum time between two reads, in milliseconds
   */
  public TopicFollower(
      Topic topic,
      Store store,
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      int waitMs,
      IntSupplier minIntervalMs,
      Listener listener) {
    this.topic = topic;
    this.store = store;
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.log = log;
    this.waitMs = waitMs;
    this.minIntervalMs = minIntervalMs;
    this.listener = listener;
  }

  /**
   * Sets the condition under which peers read the topic for this process. Without recent heartbeats
   * or a recent proof this process reads the topic itself.
   *
   * @param isTold true while peers read for this process, not null
   * @param proofMs the maximum age of their proof that no change was missed, in milliseconds
   */
  public void spareWhile(BooleanSupplier isTold, int proofMs) {
    isSpared = isTold;
    toldProofNanos = TimeUnit.MILLISECONDS.toNanos(proofMs);
  }

  /**
   * Sets the condition under which this process does without what is new in the topic. It reads on
   * from where it stopped once the condition ends.
   *
   * @param condition true while nothing of the topic is needed, not null
   * @param longestMs the longest time without a read all the same, in milliseconds
   */
  public void restWhile(BooleanSupplier condition, int longestMs) {
    isNeedless = condition;
    longestRestNanos = TimeUnit.MILLISECONDS.toNanos(longestMs);
  }

  /** Begins to follow. */
  public void start() {
    readNewest("", -1, clockNanos.getAsLong());
  }

  /** Returns true once the newest of every key was read. */
  public boolean isCurrent() {
    return isCurrent;
  }

  /** Returns the time on the steady clock up to which nothing was missed. */
  public long provenNanos() {
    return provenNanos;
  }

  /** Returns the offset of the next record. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns how long the store has answered without a fault, or 0 if the last call failed. */
  public long reachableForNanos() {
    if (isTold()) {
      return toldReachableNanos;
    }
    return isReachable ? clockNanos.getAsLong() - reachableSinceNanos : 0;
  }

  /** Takes over what a peer has proved, if this process has read as far. */
  public void proveByPeer(long offset, long peerProvenNanos) {
    if (isCurrent && offset <= nextOffset) {
      provenNanos = Math.max(provenNanos, peerProvenNanos);
      toldNanos = clockNanos.getAsLong();
    } else {
      // There is more to read than this peer told.
      toldNanos = Long.MIN_VALUE / 2;
    }
  }

  /** Takes over a stretch that a peer has read, if nothing is missing before it. */
  public void takeOver(ListUpdate news, long peerProvenNanos) {
    if (!isCurrent || !news.isProof() || news.fromOffset() > nextOffset) {
      return;
    }
    if (!isTold()) {
      log.write(
          "list_told_by_peer",
          "topic",
          topic,
          "offset",
          nextOffset,
          "from",
          news.fromOffset(),
          "end",
          news.endOffset());
    }
    takeRecords(news.records());
    nextOffset = Math.max(nextOffset, news.endOffset());
    toldNanos = clockNanos.getAsLong();
    // The store may reject one reader and serve the others, so the most recent proof decides.
    if (peerProvenNanos >= provenNanos) {
      provenNanos = peerProvenNanos;
      toldReachableNanos = news.reachableNanos();
    }
  }

  /** Returns true if peers read for this process, and have lately told it enough. */
  private boolean isTold() {
    long nowNanos = clockNanos.getAsLong();
    return isSpared.getAsBoolean()
        && nowNanos - toldNanos < TOLD_NANOS
        && nowNanos - provenNanos < toldProofNanos;
  }

  private boolean mayRest() {
    return isNeedless.getAsBoolean() && clockNanos.getAsLong() - provenNanos < longestRestNanos;
  }

  private void readNewest(String afterKey, long endOffset, long startedNanos) {
    if (afterKey.isEmpty()) {
      listedKeys.clear();
    }
    store.readNewest(
        topic,
        afterKey,
        new StoreCallback<>() {
          @Override
          public void onValue(StorePage page) {
            markReached();
            String lastKey = afterKey;
            for (StoreRecord record : page.records()) {
              listedKeys.add(record.key());
              listener.onRecord(record);
              lastKey = record.key();
            }
            // The pages are no snapshot: what changed since the first one is read afterwards.
            long end = endOffset < 0 ? page.endOffset() : endOffset;
            if (page.hasMore() && !page.records().isEmpty()) {
              readNewest(lastKey, end, startedNanos);
            } else {
              finishListing(end, startedNanos);
            }
          }

          @Override
          public void onFault(StoreFault fault) {
            pauseAfter(fault, () -> readNewest("", -1, clockNanos.getAsLong()));
          }
        });
  }

  private void finishListing(long endOffset, long startedNanos) {
    listener.onListed(Set.copyOf(listedKeys), endOffset);
    listedKeys.clear();
    nextOffset = endOffset;
    provenNanos = Math.max(provenNanos, startedNanos);
    isCurrent = true;
    readOn();
  }

  private void readOn() {
    if (isTold() || mayRest()) {
      readsItself = false;
      loop.schedule(this::readOn, TOLD_CHECK_MS, TimeUnit.MILLISECONDS);
      return;
    }
    long sentNanos = clockNanos.getAsLong();
    if (!readsItself) {
      readsItself = true;
      log.write("topic_read_here", "topic", topic, "offset", nextOffset);
    }
    store.read(
        topic,
        nextOffset,
        waitMs,
        new StoreCallback<>() {
          @Override
          public void onValue(StorePage page) {
            markReached();
            takeRecords(page.records());
            provenNanos = Math.max(provenNanos, sentNanos);
            long spentMs = TimeUnit.NANOSECONDS.toMillis(clockNanos.getAsLong() - sentNanos);
            long restMs = Math.max(0, minIntervalMs.getAsInt() - spentMs);
            loop.schedule(TopicFollower.this::readOn, restMs, TimeUnit.MILLISECONDS);
          }

          @Override
          public void onFault(StoreFault fault) {
            if (fault == StoreFault.TRIMMED) {
              log.write("store_history_gone", "topic", topic, "offset", nextOffset);
              readNewest("", -1, clockNanos.getAsLong());
            } else {
              pauseAfter(fault, TopicFollower.this::readOn);
            }
          }
        });
  }

  /**
   * Reads once without waiting, beside the read that waits in the store: what that one proves may
   * be as old as its wait, and this process has just lost all proof.
   */
  public void proveSoon() {
    if (!isCurrent) {
      return;
    }
    long sentNanos = clockNanos.getAsLong();
    store.read(
        topic,
        nextOffset,
        0,
        new StoreCallback<>() {
          @Override
          public void onValue(StorePage page) {
            takeRecords(page.records());
            if (page.endOffset() <= nextOffset) {
              provenNanos = Math.max(provenNanos, sentNanos);
            }
          }

          @Override
          public void onFault(StoreFault fault) {
            // The read that waits brings the proof, and the pause after faults is its own.
            log.write("proof_not_renewed", "topic", topic, "fault", fault);
          }
        });
  }

  private void takeRecords(List<StoreRecord> records) {
    for (StoreRecord record : records) {
      if (record.offset() >= nextOffset) {
        listener.onRecord(record);
        nextOffset = record.offset() + 1;
      }
    }
  }

  private void markReached() {
    pauseMs = SHORTEST_PAUSE_MS;
    if (!isReachable) {
      isReachable = true;
      reachableSinceNanos = clockNanos.getAsLong();
      log.write("store_reached", "topic", topic);
    }
  }

  private void pauseAfter(StoreFault fault, Runnable again) {
    if (isReachable) {
      isReachable = false;
      log.write("store_lost", "topic", topic, "fault", fault);
    }
    loop.schedule(again, pauseMs, TimeUnit.MILLISECONDS);
    pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
  }

  /** Hears the records of a topic. */
  public interface Listener {
    /** Tells the newest record of a key. */
    void onRecord(StoreRecord record);

    /**
     * Tells all keys of a full listing; others are gone.
     *
     * @param endOffset from here on every record follows
     */
    default void onListed(Set<String> keys, long endOffset) {}
  }
}
