package org.shoreroad.edge.sync;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;

/**
 * Follows a keyed topic of the store: first the newest of each key, then every record.
 *
 * <p>A long wait in the store tells a change at once; when no change comes, its end still proves
 * that nothing was missed. The proof counts from the sending of the read.
 *
 * <p>A position of one era tells nothing about the records of another one: after a new era the
 * offsets below it may belong to records that were never read. So nothing is read on, proved or
 * taken from a peer over eras; the topic is listed anew. Used on the event loop.
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
  private StorePosition next = StorePosition.NONE;

  /** Counts listings; an answer to a call of an earlier one is passed over. */
  private int round;

  private boolean isListing;

  private long dueEra = StorePosition.UNKNOWN_ERA;
  private IntSupplier listingDelayMs = () -> 0;
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
  public void readThroughPeersWhile(BooleanSupplier isTold, int proofMs) {
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
  public void suspendReadsWhile(BooleanSupplier condition, int longestMs) {
    isNeedless = condition;
    longestRestNanos = TimeUnit.MILLISECONDS.toNanos(longestMs);
  }

  /**
   * Sets how long this process waits before it lists the topic anew because another call, or a
   * peer, has told of a new era. All processes hear of it at the same time, and the store takes a
   * limited number of calls.
   *
   * @param delayMs gives a delay in milliseconds, another one at each call, not null
   */
  public void setListingDelay(IntSupplier delayMs) {
    listingDelayMs = delayMs;
  }

  /** Begins to follow. */
  public void start() {
    list();
  }

  /** Takes note of the era of an answer to another call, or of a peer. */
  public void noteEra(long era) {
    if (!isCurrent || era <= next.era() || era <= dueEra) {
      return;
    }
    dueEra = era;
    loop.schedule(this::listIfDue, listingDelayMs.getAsInt(), TimeUnit.MILLISECONDS);
  }

  private void listIfDue() {
    if (next.era() < dueEra && !isListing) {
      listAnew();
    }
  }

  /** Returns true once the newest of every key was read. */
  public boolean isCurrent() {
    return isCurrent;
  }

  /** Returns the time on the steady clock up to which nothing was missed. */
  public long provenNanos() {
    return provenNanos;
  }

  /** Returns the position of the next record. */
  public StorePosition next() {
    return next;
  }

  /** Returns how long the store has answered without a fault, or 0 if the last call failed. */
  public long reachableForNanos() {
    if (isTold()) {
      return toldReachableNanos;
    }
    return isReachable ? clockNanos.getAsLong() - reachableSinceNanos : 0;
  }

  /** Takes over what a peer has proved, if this process has read as far in the same era. */
  public void acceptPeerProof(StorePosition peerNext, long peerProvenNanos) {
    if (isCurrent && next.hasReached(peerNext)) {
      provenNanos = Math.max(provenNanos, peerProvenNanos);
      toldNanos = clockNanos.getAsLong();
    } else if (peerNext.era() >= next.era()) {
      // There is more to read than this peer told.
      toldNanos = Long.MIN_VALUE / 2;
      noteEra(peerNext.era());
    }
  }

  /** Takes over a stretch that a peer has read, if nothing is missing before it. */
  public void applyPeerUpdate(ListUpdate update, long peerProvenNanos) {
    noteEra(update.end().era());
    if (!isCurrent || !update.hasProof() || !next.hasReached(update.from())) {
      return;
    }
    if (!isTold()) {
      logTold(update);
    }
    takeRecords(update.records());
    if (update.end().hasReached(next)) {
      next = update.end();
    }
    toldNanos = clockNanos.getAsLong();
    // The store may reject one reader and serve the others, so the most recent proof decides.
    if (peerProvenNanos >= provenNanos) {
      provenNanos = peerProvenNanos;
      toldReachableNanos = update.reachableNanos();
    }
  }

  private void logTold(ListUpdate update) {
    log.write(
        "list_told_by_peer",
        "topic",
        topic,
        "era",
        next.era(),
        "offset",
        next.offset(),
        "from",
        update.from().offset(),
        "end",
        update.end().offset());
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

  private void listAnew() {
    log.write("topic_listed_anew", "topic", topic, "era", next.era(), "offset", next.offset());
    list();
  }

  private void list() {
    round++;
    isListing = true;
    listedKeys.clear();
    readNewest("", null, clockNanos.getAsLong(), round);
  }

  private void readNewest(
      String afterKey, @Nullable StorePosition firstEnd, long startedNanos, int ofRound) {
    store.readNewest(
        topic,
        afterKey,
        new StoreCallback<>() {
          @Override
          public void onValue(StorePage page) {
            if (ofRound != round) {
              return;
            }
            markReached();
            StorePosition end = firstEnd == null ? page.end() : firstEnd;
            if (!page.end().isSameEra(end)) {
              listAnew();
              return;
            }
            String lastKey = takeListed(page, afterKey);
            // The pages are no snapshot: what changed since the first one is read afterwards.
            if (page.hasMore() && !page.records().isEmpty()) {
              readNewest(lastKey, end, startedNanos, ofRound);
            } else {
              finishListing(end, startedNanos);
            }
          }

          @Override
          public void onFault(StoreFault fault) {
            pauseAfter(fault, ofRound, TopicFollower.this::list);
          }
        });
  }

  /** Takes the records of a listing; returns the last key. */
  private String takeListed(StorePage page, String afterKey) {
    String lastKey = afterKey;
    for (StoreRecord record : page.records()) {
      listedKeys.add(record.key());
      listener.onRecord(record);
      lastKey = record.key();
    }
    return lastKey;
  }

  private void finishListing(StorePosition end, long startedNanos) {
    if (isCurrent && !end.isSameEra(next)) {
      log.write(
          "topic_listed_in_new_era", "topic", topic, "era", end.era(), "keys", listedKeys.size());
    }
    listener.onListed(Set.copyOf(listedKeys), end);
    listedKeys.clear();
    isListing = false;
    next = end;
    provenNanos = Math.max(provenNanos, startedNanos);
    isCurrent = true;
    readOn(round);
  }

  private void readOn(int ofRound) {
    if (ofRound != round) {
      return;
    }
    if (isTold() || mayRest()) {
      readsItself = false;
      readOnAfter(TOLD_CHECK_MS, ofRound);
      return;
    }
    long sentNanos = clockNanos.getAsLong();
    if (!readsItself) {
      readsItself = true;
      log.write("topic_read_here", "topic", topic, "era", next.era(), "offset", next.offset());
    }
    store.read(
        topic,
        next.offset(),
        waitMs,
        new StoreCallback<>() {
          @Override
          public void onValue(StorePage page) {
            if (ofRound != round) {
              return;
            }
            markReached();
            if (!page.end().isSameEra(next)) {
              listAnew();
              return;
            }
            takeRecords(page.records());
            provenNanos = Math.max(provenNanos, sentNanos);
            long spentMs = TimeUnit.NANOSECONDS.toMillis(clockNanos.getAsLong() - sentNanos);
            readOnAfter(Math.max(0, minIntervalMs.getAsInt() - spentMs), ofRound);
          }

          @Override
          public void onFault(StoreFault fault) {
            if (fault == StoreFault.TRIMMED && ofRound == round) {
              log.write("store_history_gone", "topic", topic, "offset", next.offset());
              list();
            } else {
              pauseAfter(fault, ofRound, () -> readOn(ofRound));
            }
          }
        });
  }

  private void readOnAfter(long delayMs, int ofRound) {
    loop.schedule(() -> readOn(ofRound), delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Reads once without waiting, beside the read that waits in the store: what that one proves may
   * be as old as its wait, and this process has just lost all proof.
   */
  public void renewProof() {
    if (!isCurrent) {
      return;
    }
    long sentNanos = clockNanos.getAsLong();
    store.read(
        topic,
        next.offset(),
        0,
        new StoreCallback<>() {
          @Override
          public void onValue(StorePage page) {
            if (!page.end().isSameEra(next)) {
              noteEra(page.end().era());
              return;
            }
            takeRecords(page.records());
            if (next.hasReached(page.end())) {
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
      if (record.position().hasReached(next)) {
        listener.onRecord(record);
        next = next.withOffset(record.offset() + 1);
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

  private void pauseAfter(StoreFault fault, int ofRound, Runnable again) {
    if (ofRound != round) {
      return;
    }
    if (isReachable) {
      isReachable = false;
      log.write("store_lost", "topic", topic, "fault", fault);
    }
    Runnable unlessListedAnew =
        () -> {
          if (ofRound == round) {
            again.run();
          }
        };
    loop.schedule(unlessListedAnew, pauseMs, TimeUnit.MILLISECONDS);
    pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
  }

  /** Hears the records of a topic. */
  public interface Listener {
    /** Tells the newest record of a key. */
    void onRecord(StoreRecord record);

    /**
     * Tells all keys of a full listing; others are gone.
     *
     * @param end from here on every record follows
     */
    default void onListed(Set<String> keys, StorePosition end) {}
  }
}
