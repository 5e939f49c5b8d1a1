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
 * Follower of a keyed topic of the store: reads the newest record of each key, then every record.
 *
 * <p>Reads are long polls: the store answers as soon as there is a record, or when the wait ends.
 * Either answer proves that no record was missed up to the time at which the read was sent, unless
 * the store has cut it off at the maximum size.
 *
 * <p>Positions of different eras can't be compared: in a new era, the offsets below a position may
 * belong to records that were never read. So reads, proofs and updates from peers never continue
 * from one era into another; the topic is listed again instead.
 *
 * <p>A record whose processing fails is logged and counted, and the topic is read on. Not
 * thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class TopicFollower {
  /** Pause after the first fault. It doubles up to the longest, so as not to overload the store. */
  private static final int SHORTEST_PAUSE_MS = 100;

  private static final int LONGEST_PAUSE_MS = 800;

  /** Time for which an update from a peer replaces reads: five heartbeats. */
  private static final long PEER_UPDATE_VALID_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Interval of the check whether this process has to read the topic itself again. */
  private static final int SUSPENDED_CHECK_MS = 200;

  private final Topic topic;
  private final Store store;
  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final IntSupplier minIntervalMs;
  private final IsolatingListener listener;
  private final Set<String> listedKeys = new HashSet<>();
  private IntSupplier waitMs;
  private StorePosition next = StorePosition.NONE;

  /** Number of the current listing. Answers to calls of an earlier one are ignored. */
  private int listingNumber;

  private boolean isListing;

  private long pendingEra = StorePosition.UNKNOWN_ERA;
  private IntSupplier listingDelayMs = () -> 0;
  private long provenNanos;
  private boolean isCurrent;
  private boolean isReachable;
  private boolean isReading = true;
  private long reachableSinceNanos;
  private int pauseMs = SHORTEST_PAUSE_MS;
  private BooleanSupplier doPeersRead = () -> false;
  private BooleanSupplier isUnneeded = () -> false;
  private long longestSuspensionNanos;
  private long maxPeerProofAgeNanos;
  private long peerUpdateNanos = Long.MIN_VALUE / 2;
  private long peerReachableNanos;

  /**
   * Creates a follower; {@link #start} begins to read.
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
    this.waitMs = () -> waitMs;
    this.minIntervalMs = minIntervalMs;
    this.listener = new IsolatingListener(topic, listener, log);
  }

  /**
   * Sets the condition under which peers read the topic for this process. Without recent heartbeats
   * or a recent proof this process reads the topic itself.
   *
   * @param condition returns true while peers read for this process, not null
   * @param proofMs the maximum age of their proof that no change was missed, in milliseconds
   */
  public void readThroughPeersWhile(BooleanSupplier condition, int proofMs) {
    doPeersRead = condition;
    maxPeerProofAgeNanos = TimeUnit.MILLISECONDS.toNanos(proofMs);
  }

  /**
   * Sets the condition under which this process suspends its reads of the topic. Once the condition
   * ends, reads continue from the last position.
   *
   * @param condition returns true while nothing of the topic is needed, not null
   * @param longestMs the longest time without a read even then, in milliseconds
   */
  public void suspendReadsWhile(BooleanSupplier condition, int longestMs) {
    isUnneeded = condition;
    longestSuspensionNanos = TimeUnit.MILLISECONDS.toNanos(longestMs);
  }

  /**
   * Sets the delay before the topic is listed again because another call or a peer has reported a
   * new era. All processes detect it at the same time and the store accepts a limited number of
   * calls, so the delays spread the listings.
   *
   * @param delayMs supplies a delay in milliseconds, a different one at each call, not null
   */
  public void setListingDelay(IntSupplier delayMs) {
    listingDelayMs = delayMs;
  }

  /**
   * Sets the wait of each long poll in place of the fixed one. The long polls of all processes end
   * together at each record, so with equal waits all proofs would be old at the same time.
   *
   * @param newWaitMs supplies the wait in milliseconds, not null
   */
  public void setWait(IntSupplier newWaitMs) {
    waitMs = newWaitMs;
  }

  /** Sets the listener that is called with each failure to process a record. */
  public void setFailureListener(Runnable failureListener) {
    listener.setFailureListener(failureListener);
  }

  /** Starts following the topic. */
  public void start() {
    list();
  }

  /** Records the era of an answer to another call or of a peer; a new era causes a listing. */
  public void noteEra(long era) {
    if (!isCurrent || era <= next.era() || era <= pendingEra) {
      return;
    }
    pendingEra = era;
    loop.schedule(this::listIfPending, listingDelayMs.getAsInt(), TimeUnit.MILLISECONDS);
  }

  private void listIfPending() {
    if (next.era() < pendingEra && !isListing) {
      listAgain();
    }
  }

  /** Returns true once the newest record of every key was read. */
  public boolean isCurrent() {
    return isCurrent;
  }

  /** Returns the time up to which no record was missed, in nanoseconds of the steady clock. */
  public long provenNanos() {
    return provenNanos;
  }

  /** Returns the position of the next record. */
  public StorePosition next() {
    return next;
  }

  /**
   * Returns how long the store has answered without a fault, in nanoseconds; 0 if the last call
   * failed. While peers read for this process this is the time that the peer reported.
   */
  public long reachableForNanos() {
    if (isCoveredByPeers()) {
      return peerReachableNanos;
    }
    return isReachable ? clockNanos.getAsLong() - reachableSinceNanos : 0;
  }

  /** Accepts a peer's proof if this process has read as far in the same era. */
  public void acceptPeerProof(StorePosition peerNext, long peerProvenNanos) {
    if (isCurrent && next.hasReached(peerNext)) {
      provenNanos = Math.max(provenNanos, peerProvenNanos);
      peerUpdateNanos = clockNanos.getAsLong();
    } else if (peerNext.era() >= next.era()) {
      // The peer has read further, so this process has to read the rest itself.
      peerUpdateNanos = Long.MIN_VALUE / 2;
      noteEra(peerNext.era());
    }
  }

  /** Applies the records that a peer has read, if this process lacks none before them. */
  public void applyPeerUpdate(ListUpdate update, long peerProvenNanos) {
    noteEra(update.end().era());
    if (!isCurrent || !update.hasProof() || !next.hasReached(update.from())) {
      return;
    }
    if (!isCoveredByPeers()) {
      logPeerUpdate(update);
    }
    deliverRecords(update.records());
    if (update.end().hasReached(next)) {
      next = update.end();
    }
    peerUpdateNanos = clockNanos.getAsLong();
    // The store may reject one reader and serve the others, so the most recent proof decides.
    if (peerProvenNanos >= provenNanos) {
      provenNanos = peerProvenNanos;
      peerReachableNanos = update.reachableNanos();
    }
  }

  private void logPeerUpdate(ListUpdate update) {
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

  /** Returns true if peers read for this process and their last update and proof are recent. */
  private boolean isCoveredByPeers() {
    long nowNanos = clockNanos.getAsLong();
    return doPeersRead.getAsBoolean()
        && nowNanos - peerUpdateNanos < PEER_UPDATE_VALID_NANOS
        && nowNanos - provenNanos < maxPeerProofAgeNanos;
  }

  private boolean mayBeSuspended() {
    return isUnneeded.getAsBoolean()
        && clockNanos.getAsLong() - provenNanos < longestSuspensionNanos;
  }

  private void listAgain() {
    log.write("topic_listed_anew", "topic", topic, "era", next.era(), "offset", next.offset());
    list();
  }

  private void list() {
    listingNumber++;
    isListing = true;
    listedKeys.clear();
    readNewest("", null, clockNanos.getAsLong(), listingNumber);
  }

  private void readNewest(
      String afterKey, @Nullable StorePosition firstEnd, long startedNanos, int ofListing) {
    store.readNewest(
        topic,
        afterKey,
        new StoreCallback<>() {
          @Override
          public void onValue(StorePage page) {
            if (ofListing != listingNumber) {
              return;
            }
            markReachable();
            StorePosition end = firstEnd == null ? page.end() : firstEnd;
            if (!page.end().isSameEra(end)) {
              listAgain();
              return;
            }
            String lastKey = deliverListed(page, afterKey);
            // The pages are no snapshot: changes since the first page are read after the listing.
            if (page.hasMore() && !page.records().isEmpty()) {
              readNewest(lastKey, end, startedNanos, ofListing);
            } else {
              finishListing(end, startedNanos);
            }
          }

          @Override
          public void onFault(StoreFault fault) {
            pauseAfter(fault, ofListing, TopicFollower.this::list);
          }
        });
  }

  /** Delivers the records of a listing to the listener; returns the last key. */
  private String deliverListed(StorePage page, String afterKey) {
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
    readNext(listingNumber);
  }

  private void readNext(int ofListing) {
    if (ofListing != listingNumber) {
      return;
    }
    if (isCoveredByPeers() || mayBeSuspended()) {
      isReading = false;
      readNextAfter(SUSPENDED_CHECK_MS, ofListing);
      return;
    }
    long sentNanos = clockNanos.getAsLong();
    // After a suspension the last proof is old, so the first read doesn't wait for a change.
    int readWaitMs = isReading ? waitMs.getAsInt() : 0;
    if (!isReading) {
      isReading = true;
      log.write("topic_read_here", "topic", topic, "era", next.era(), "offset", next.offset());
    }
    store.read(
        topic,
        next.offset(),
        readWaitMs,
        new StoreCallback<>() {
          @Override
          public void onValue(StorePage page) {
            if (ofListing != listingNumber) {
              return;
            }
            markReachable();
            if (!page.end().isSameEra(next)) {
              listAgain();
              return;
            }
            deliverRecords(page.records());
            if (!acceptProof(page, sentNanos) && !page.records().isEmpty()) {
              readNextAfter(0, ofListing);
              return;
            }
            long spentMs = TimeUnit.NANOSECONDS.toMillis(clockNanos.getAsLong() - sentNanos);
            readNextAfter(Math.max(0, minIntervalMs.getAsInt() - spentMs), ofListing);
          }

          @Override
          public void onFault(StoreFault fault) {
            if (fault == StoreFault.TRIMMED && ofListing == listingNumber) {
              log.write("store_history_gone", "topic", topic, "offset", next.offset());
              list();
            } else {
              pauseAfter(fault, ofListing, () -> readNext(ofListing));
            }
          }
        });
  }

  private void readNextAfter(long delayMs, int ofListing) {
    loop.schedule(() -> readNext(ofListing), delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends one read without a wait, in parallel to the long poll. The proof of the long poll may be
   * as old as its wait, and this process has just lost its proof.
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
            deliverRecords(page.records());
            acceptProof(page, sentNanos);
          }

          @Override
          public void onFault(StoreFault fault) {
            // The long poll renews the proof instead, and it alone pauses after faults.
            log.write("proof_not_renewed", "topic", topic, "fault", fault);
          }
        });
  }

  /**
   * Counts a read as a proof, unless the store has cut its answer off before the end.
   *
   * @return false if the answer was cut off, so that records up to its end are still to be read
   */
  private boolean acceptProof(StorePage page, long sentNanos) {
    if (!next.hasReached(page.end())) {
      return false;
    }
    provenNanos = Math.max(provenNanos, sentNanos);
    return true;
  }

  private void deliverRecords(List<StoreRecord> records) {
    for (StoreRecord record : records) {
      if (record.position().hasReached(next)) {
        listener.onRecord(record);
        next = next.withOffset(record.offset() + 1);
      }
    }
  }

  private void markReachable() {
    pauseMs = SHORTEST_PAUSE_MS;
    if (!isReachable) {
      isReachable = true;
      reachableSinceNanos = clockNanos.getAsLong();
      log.write("store_reached", "topic", topic);
    }
  }

  private void pauseAfter(StoreFault fault, int ofListing, Runnable retry) {
    if (ofListing != listingNumber) {
      return;
    }
    if (isReachable) {
      isReachable = false;
      log.write("store_lost", "topic", topic, "fault", fault);
    }
    Runnable unlessListedAgain =
        () -> {
          if (ofListing == listingNumber) {
            retry.run();
          }
        };
    loop.schedule(unlessListedAgain, pauseMs, TimeUnit.MILLISECONDS);
    pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
  }

  /** Listener for the records of a topic. */
  public interface Listener {
    /** Called with the newest record of a key. */
    void onRecord(StoreRecord record);

    /**
     * Called with all keys of a full listing; any other key was removed.
     *
     * @param end the position from which on every record follows
     */
    default void onListed(Set<String> keys, StorePosition end) {}
  }
}
