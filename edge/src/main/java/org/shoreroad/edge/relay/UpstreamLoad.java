package org.shoreroad.edge.relay;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.ReplicaId;

/**
 * Load and health of one upstream, as known to this process. Used on the event loop.
 *
 * @since 0.2
 */
final class UpstreamLoad {
  /** Weight of the newest outcome in the mean of failures, which covers about eight outcomes. */
  private static final double FAILURE_WEIGHT = 0.12;

  /** Time for which a suspected head gets no requests; after that it may be tried again. */
  private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Time within which all peers have received a new replica: five heartbeats. */
  private static final long NEWLY_FORMED_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Set<Exchange> open = new LinkedHashSet<>();
  private final Set<Exchange> paused = new HashSet<>();
  private PaceMeter pace = new PaceMeter();
  private long waitingPromptTokens;
  private int ownDecodingCount;
  private int peerOpenCount;
  private long peerWaitingTokens;
  private int peerGrantedCount;
  private long peerProgressNanos = Long.MIN_VALUE / 2;
  private double failureMean;
  private long progressNanos = Long.MIN_VALUE / 2;
  private long openSinceNanos;
  private long suspectedNanos;
  private long pathCheckedNanos = Long.MIN_VALUE / 2;
  private boolean isSuspected;
  private boolean hasOwnSuspicion;
  private long replicaChangedNanos = Long.MIN_VALUE / 2;
  private long avoidedUntilNanos = Long.MIN_VALUE;
  private @Nullable ReplicaId currentReplica;

  /** Sets the replica that this head belongs to; returns true if that changes it. */
  boolean updateReplica(ReplicaId replica, long nowNanos) {
    if (replica.equals(currentReplica)) {
      return false;
    }
    if (currentReplica != null) {
      replicaChangedNanos = nowNanos;
    }
    currentReplica = replica;
    clearSuspicion();
    avoidedUntilNanos = Long.MIN_VALUE;
    return true;
  }

  /** Discards the history of the former incarnation; its open requests end by themselves. */
  void restart(long nowNanos) {
    pace = new PaceMeter();
    failureMean = 0;
    currentReplica = null;
    // Peers may still suspect the former incarnation.
    replicaChangedNanos = nowNanos;
    avoidedUntilNanos = Long.MIN_VALUE;
    clearSuspicion();
  }

  void add(Exchange exchange, long promptTokens, long nowNanos) {
    if (open.isEmpty()) {
      openSinceNanos = nowNanos;
    }
    open.add(exchange);
    waitingPromptTokens += promptTokens;
  }

  /** Removes a request that has had no event yet. */
  void removeWaiting(Exchange exchange, long promptTokens) {
    paused.remove(exchange);
    if (open.remove(exchange)) {
      waitingPromptTokens -= promptTokens;
    }
  }

  /** Removes a request that has had an event, so that its prompt was read. */
  void removeDecoding(Exchange exchange) {
    paused.remove(exchange);
    if (open.remove(exchange)) {
      ownDecodingCount--;
    }
  }

  /** Records that this process stops or resumes reading the answer to a request. */
  void setPaused(Exchange exchange, boolean isPaused, long nowNanos) {
    if (isPaused) {
      paused.add(exchange);
    } else if (paused.remove(exchange)) {
      // No progress can be observed at an upstream whose answers are not read.
      openSinceNanos = nowNanos;
    }
  }

  /** Returns true if the answer to the request is not read, so that silence shows nothing. */
  boolean isPaused(Exchange exchange) {
    return paused.contains(exchange);
  }

  /** Records the first event of a request, which shows that its prompt was read. */
  void recordPromptRead(long promptTokens) {
    waitingPromptTokens -= promptTokens;
    ownDecodingCount++;
  }

  /** Returns the meter of how slow the passes are compared with the engine's specification. */
  PaceMeter pace() {
    return pace;
  }

  /** Records progress of the upstream: an event, or an answer. */
  void recordProgress(long nowNanos) {
    progressNanos = nowNanos;
    clearSuspicion();
  }

  void recordOutcome(boolean hasFailed) {
    failureMean += FAILURE_WEIGHT * ((hasFailed ? 1 : 0) - failureMean);
  }

  void avoidUntil(long untilNanos) {
    avoidedUntilNanos = untilNanos;
  }

  boolean isAvoided(long nowNanos) {
    return nowNanos < avoidedUntilNanos;
  }

  /**
   * Records a suspicion. A suspicion that has expired starts again; a current one is not extended.
   *
   * @param isOwn true if this process itself found the stall
   */
  void suspect(boolean isOwn, long nowNanos) {
    if (!isSuspectedAt(nowNanos)) {
      suspectedNanos = nowNanos;
    }
    isSuspected = true;
    hasOwnSuspicion |= isOwn;
  }

  /** Restarts the silence, since the path was lost and earlier calls show no stall. */
  void restartSilence(long nowNanos) {
    openSinceNanos = nowNanos;
  }

  /** Ends the suspicion and the time for which it gets no requests. */
  void clearExclusion() {
    clearSuspicion();
    avoidedUntilNanos = Long.MIN_VALUE;
  }

  /** Records that this process itself found the stall of a head that is suspected. */
  void confirmSuspicion() {
    hasOwnSuspicion |= isSuspected;
  }

  /** Returns true if the path to it was not checked within the time, and records a check now. */
  boolean takePathCheck(long intervalNanos, long nowNanos) {
    boolean isDue = nowNanos - pathCheckedNanos > intervalNanos;
    if (isDue) {
      pathCheckedNanos = nowNanos;
    }
    return isDue;
  }

  private void clearSuspicion() {
    isSuspected = false;
    hasOwnSuspicion = false;
  }

  /** Returns true if it heads another replica so recently that peers may not have received it. */
  boolean isNewlyFormedAt(long nowNanos) {
    return nowNanos - replicaChangedNanos < NEWLY_FORMED_NANOS;
  }

  /** Returns true if it is suspected now because this process itself found a stall. */
  boolean hasOwnSuspicionAt(long nowNanos) {
    return hasOwnSuspicion && isSuspectedAt(nowNanos);
  }

  boolean isSuspected() {
    return isSuspected;
  }

  /** Returns true if it is suspected and the suspicion has not expired, so it gets no requests. */
  boolean isSuspectedAt(long nowNanos) {
    return isSuspected && nowNanos - suspectedNanos < SUSPICION_NANOS;
  }

  long progressNanos() {
    return progressNanos;
  }

  Set<Exchange> open() {
    return open;
  }

  int openCount() {
    return open.size() + peerOpenCount;
  }

  int ownOpenCount() {
    return open.size();
  }

  /** Discards the loads of the other processes before their newest reports are added. */
  void clearPeerLoads() {
    peerOpenCount = 0;
    peerWaitingTokens = 0;
    peerGrantedCount = 0;
  }

  /** Adds the load that another process reported. */
  void addPeerLoad(int openCount, long waitingTokens, long lastProgressNanos) {
    peerOpenCount += openCount;
    peerWaitingTokens += waitingTokens;
    peerProgressNanos = Math.max(peerProgressNanos, lastProgressNanos);
    if (lastProgressNanos > suspectedNanos) {
      clearSuspicion();
    }
  }

  /** Adds the part of another process's load that the owner of the domain has granted. */
  void addPeerGranted(int count) {
    peerGrantedCount += count;
  }

  /** Returns the open requests of other processes that the owner of the domain has granted. */
  int peerGrantedCount() {
    return peerGrantedCount;
  }

  /** Returns the prompt tokens of all requests without an event yet, over all processes. */
  long waitingPromptTokens() {
    return waitingPromptTokens + peerWaitingTokens;
  }

  /** Returns true if a request of this process is decoding, so that each pass sends it an event. */
  boolean hasOwnDecoding() {
    // Those whose answer is not read show no event.
    return ownDecodingCount > paused.size();
  }

  long ownWaitingPromptTokens() {
    return waitingPromptTokens;
  }

  /**
   * Returns the start of the current silence on the steady clock: the later of the last progress at
   * any process and the time since which this process has had requests open here.
   */
  long silentSinceNanos() {
    return Math.max(openSinceNanos, Math.max(progressNanos, peerProgressNanos));
  }

  /**
   * Returns the start of the current silence towards this process on the steady clock: the later of
   * its last progress here and the time since which it has had requests open here.
   */
  long ownSilentSinceNanos() {
    return Math.max(openSinceNanos, progressNanos);
  }

  double failureMean() {
    return failureMean;
  }
}
