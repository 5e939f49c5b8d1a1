package org.shoreroad.edge.relay;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.ReplicaId;

/**
 * What this process knows of the load and the health of one upstream; used on the event loop.
 *
 * @since 0.2
 */
final class UpstreamLoad {
  /** The weight of the newest outcome in the mean of failures: about the last eight count. */
  private static final double FAILURE_WEIGHT = 0.12;

  /** How long a suspected head is left alone before one request may try it again. */
  private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Five heartbeats: all peers have seen a formation by then. */
  private static final long NEWLY_FORMED_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Set<Exchange> open = new LinkedHashSet<>();
  private PaceMeter pace = new PaceMeter();
  private long waitingPromptTokens;
  private int ownWriters;
  private int openElsewhere;
  private long waitingTokensElsewhere;
  private long progressElsewhereNanos = Long.MIN_VALUE / 2;
  private double failureMean;
  private long progressNanos = Long.MIN_VALUE / 2;
  private long openSinceNanos;
  private long suspectedNanos;
  private boolean isSuspected;
  private boolean isSuspectedHere;
  private long reformedNanos = Long.MIN_VALUE / 2;
  private long avoidedUntilNanos = Long.MIN_VALUE;
  private @Nullable ReplicaId formation;

  /** Takes over the replica that this head belongs to; returns true if it is another one. */
  boolean takeFormation(ReplicaId replica, long nowNanos) {
    if (replica.equals(formation)) {
      return false;
    }
    if (formation != null) {
      reformedNanos = nowNanos;
    }
    formation = replica;
    clearSuspicion();
    avoidedUntilNanos = Long.MIN_VALUE;
    return true;
  }

  /** Forgets how the former incarnation served; requests that are open there end by themselves. */
  void restart(long nowNanos) {
    pace = new PaceMeter();
    failureMean = 0;
    formation = null;
    // Peers may still suspect the former incarnation.
    reformedNanos = nowNanos;
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

  /** Takes a request off from which nothing has come yet. */
  void removeWaiting(Exchange exchange, long promptTokens) {
    if (open.remove(exchange)) {
      waitingPromptTokens -= promptTokens;
    }
  }

  /** Takes a request off whose prompt was read. */
  void removeDecoding(Exchange exchange) {
    if (open.remove(exchange)) {
      ownWriters--;
    }
  }

  /** Notes that the first event of a request has come. */
  void recordPromptRead(long promptTokens) {
    waitingPromptTokens -= promptTokens;
    ownWriters++;
  }

  /** Returns how slow its passes are against the engine's figures. */
  PaceMeter pace() {
    return pace;
  }

  /** Notes that the upstream moved: an event, or an answer. */
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
   * Notes a suspicion; one that is over by time begins anew.
   *
   * @param isOwn true if this process found the silence itself
   */
  void suspect(boolean isOwn, long nowNanos) {
    if (!isSuspectedAt(nowNanos)) {
      suspectedNanos = nowNanos;
    }
    isSuspected = true;
    isSuspectedHere |= isOwn;
  }

  private void clearSuspicion() {
    isSuspected = false;
    isSuspectedHere = false;
  }

  /** Returns true if peers may not have seen yet that it heads another replica by now. */
  boolean isNewlyFormedAt(long nowNanos) {
    return nowNanos - reformedNanos < NEWLY_FORMED_NANOS;
  }

  /** Returns true if this process itself found the silence for which it is suspected now. */
  boolean isSuspectedHereAt(long nowNanos) {
    return isSuspectedHere && isSuspectedAt(nowNanos);
  }

  boolean isSuspected() {
    return isSuspected;
  }

  /** Returns true if it is suspected since a short time, so that it gets no request. */
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
    return open.size() + openElsewhere;
  }

  int ownOpenCount() {
    return open.size();
  }

  /** Forgets what the other processes told, before their newest reports are added. */
  void clearElsewhere() {
    openElsewhere = 0;
    waitingTokensElsewhere = 0;
  }

  /** Adds what another process told. */
  void addElsewhere(int openCount, long waitingTokens, long lastProgressNanos) {
    openElsewhere += openCount;
    waitingTokensElsewhere += waitingTokens;
    progressElsewhereNanos = Math.max(progressElsewhereNanos, lastProgressNanos);
    if (lastProgressNanos > suspectedNanos) {
      clearSuspicion();
    }
  }

  /** Returns the tokens of prompts, over all processes, from which nothing has come yet. */
  long waitingPromptTokens() {
    return waitingPromptTokens + waitingTokensElsewhere;
  }

  /** Returns true if a request of this process has had an event, and gets one with each pass. */
  boolean hasOwnWriter() {
    return ownWriters > 0;
  }

  long ownWaitingPromptTokens() {
    return waitingPromptTokens;
  }

  /** Returns since when the upstream, with something of this process open, gave nobody anything. */
  long silentSinceNanos() {
    return Math.max(openSinceNanos, Math.max(progressNanos, progressElsewhereNanos));
  }

  double failureMean() {
    return failureMean;
  }
}
