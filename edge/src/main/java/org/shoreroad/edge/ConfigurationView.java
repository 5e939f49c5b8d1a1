package org.shoreroad.edge;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.relay.Freshness;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.edge.sync.TopicFollower;
import org.shoreroad.traffic.TrafficConfig;

/**
 * View of the configuration that is in force here, with the age of the proof that it is the newest.
 *
 * <p>Versions only rise while a process runs. Used on the event loop.
 *
 * @since 0.2
 */
public final class ConfigurationView implements Freshness, TopicFollower.Listener {
  /** Kept back from the time to take a key away: the way of a request, and a late timer. */
  private static final int REVOKE_MARGIN_MS = 500;

  /** What the way of a read adds to its waiting. */
  private static final int READ_WAY_MS = 250;

  /** Five heartbeats: a peer that told a proof within this time still has one. */
  private static final long PEER_PROOF_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final int LONGEST_WAIT_MS = 2_000;
  private static final int SHORTEST_WAIT_MS = 100;

  private final Decoder decoder;
  private final LongSupplier clockNanos;
  private final ElapsedClock elapsed;
  private final EventLog log;
  private final long keyTrustNanos;
  private final boolean isKeyProofRequired;
  private @Nullable TrafficConfig config;
  private @Nullable TopicFollower follower;
  private long peerProvedNanos = Long.MIN_VALUE / 2;
  private boolean isNewestUnreadable;
  private long peerVersion = Heartbeat.NO_CONFIG;
  private long peerVersionFirstNanos;
  private long peerVersionNanos = Long.MIN_VALUE / 2;
  private int processCount = 1;

  /**
   * Creates a holder that knows no configuration yet.
   *
   * @param clockNanos the steady clock, not null
   * @param elapsed the ages of proofs: a box that was suspended must not use a key that was taken
   *     away meanwhile, not null
   * @param revokeMs how long a key that was taken away may be used at most, in milliseconds
   * @param isKeyProofRequired true if that bound must hold also while the store is out of reach
   */
  ConfigurationView(
      Decoder decoder,
      LongSupplier clockNanos,
      ElapsedClock elapsed,
      EventLog log,
      int revokeMs,
      boolean isKeyProofRequired) {
    this.decoder = decoder;
    this.clockNanos = clockNanos;
    this.elapsed = elapsed;
    this.log = log;
    this.keyTrustNanos = TimeUnit.MILLISECONDS.toNanos(revokeMs - REVOKE_MARGIN_MS);
    this.isKeyProofRequired = isKeyProofRequired;
  }

  /**
   * Returns how long a read of the configuration may wait in the store, in milliseconds: a proof
   * counts from the sending of its read and must last until the answer of the next one.
   */
  static int readWaitMs(int revokeMs) {
    int waitMs = (revokeMs - REVOKE_MARGIN_MS) / 2 - READ_WAY_MS;
    return Math.max(SHORTEST_WAIT_MS, Math.min(LONGEST_WAIT_MS, waitMs));
  }

  void setFollower(TopicFollower configFollower) {
    follower = configFollower;
  }

  void setProcessCount(int count) {
    processCount = count;
  }

  @Override
  public void onRecord(StoreRecord record) {
    byte[] value = record.value();
    if (value == null || !decoder.isConfiguration(record.key())) {
      return;
    }
    try {
      TrafficConfig next = decoder.decode(value);
      if (config == null || next.version() > config.version()) {
        config = next;
        isNewestUnreadable = false;
        log.write("configuration_taken", "version", next.version(), "offset", record.offset());
      }
    } catch (RuntimeException e) {
      isNewestUnreadable = true;
      log.write(
          "configuration_unreadable",
          "offset",
          record.offset(),
          "keptVersion",
          config == null ? -1 : config.version(),
          "why",
          String.valueOf(e));
    }
  }

  @Override
  public @Nullable TrafficConfig config() {
    return config;
  }

  /** Returns true if the service is declared, and for all while no configuration is known. */
  boolean isDeclared(String service) {
    return config == null || config.findService(service).isPresent();
  }

  @Override
  public boolean mayTrustKeys() {
    return isKeyProofRequired ? isProved() : config != null;
  }

  @Override
  public boolean isProved() {
    TopicFollower from = follower;
    return from != null
        && from.isCurrent()
        && elapsed.ageNanos(from.provenNanos()) < keyTrustNanos
        && !hasStoreLostVersion(from);
  }

  /**
   * Returns true if a peer has a later version than this process, which has read everything in the
   * store since it heard of it. The store has come back from a copy without that version then. The
   * version may have taken a key away, which a process that starts now would read from the copy. A
   * version that this release cannot read is not lost.
   */
  private boolean hasStoreLostVersion(TopicFollower from) {
    return peerVersion > version()
        && !isNewestUnreadable
        && from.provenNanos() - peerVersionFirstNanos > 0
        && clockNanos.getAsLong() - peerVersionNanos < PEER_PROOF_NANOS;
  }

  /**
   * Returns true if callers are served here as well as elsewhere: with a proof, or without one
   * where none is required and no peer has one either.
   */
  boolean isServing() {
    boolean isPeerBetter = clockNanos.getAsLong() - peerProvedNanos < PEER_PROOF_NANOS;
    return isProved() || (mayTrustKeys() && !isPeerBetter);
  }

  @Override
  public long configAgeMs() {
    return TimeUnit.NANOSECONDS.toMillis(configAgeNanos());
  }

  @Override
  public int processCount() {
    return processCount;
  }

  /**
   * Takes over a peer's proof that the configuration is the newest.
   *
   * <p>The peer sent its heartbeat after it got the echoed one, which left here at the echoed time:
   * so its proof is no older than that time less the age it tells.
   */
  void learn(Heartbeat heartbeat) {
    learnVersion(heartbeat.configVersion());
    if (heartbeat.configAgeNanos() < keyTrustNanos) {
      peerProvedNanos = clockNanos.getAsLong();
    }
    TopicFollower from = follower;
    if (from != null && heartbeat.echoNanos() != 0) {
      from.acceptPeerProof(
          heartbeat.configNext(), heartbeat.echoNanos() - heartbeat.configAgeNanos());
    }
  }

  private void learnVersion(long told) {
    long nowNanos = clockNanos.getAsLong();
    boolean isForgotten = nowNanos - peerVersionNanos >= PEER_PROOF_NANOS;
    if (told > peerVersion || (isForgotten && told > version())) {
      peerVersion = told;
      peerVersionFirstNanos = nowNanos;
    }
    if (told == peerVersion) {
      peerVersionNanos = nowNanos;
    }
  }

  /** Returns the version in force, {@link Heartbeat#NO_CONFIG} if none is known. */
  long version() {
    return config == null ? Heartbeat.NO_CONFIG : config.version();
  }

  StorePosition next() {
    return follower == null ? StorePosition.NONE : follower.next();
  }

  long configAgeNanos() {
    return follower == null || !follower.isCurrent()
        ? Long.MAX_VALUE / 4
        : elapsed.ageNanos(follower.provenNanos());
  }

  /** Reads records of the topic of the configuration. */
  public interface Decoder {
    /** Returns true if the key is that of the configuration. */
    boolean isConfiguration(String key);

    /**
     * Returns the configuration.
     *
     * @throws RuntimeException if the value can't be read
     */
    TrafficConfig decode(byte[] value);
  }
}
