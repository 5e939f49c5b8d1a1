package org.shoreroad.edge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.relay.ConfigurationSource;
import org.shoreroad.edge.sync.Evacuations;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.edge.sync.TopicFollower;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/**
 * View of the configuration that this process uses, with the age of the proof that it is the
 * newest.
 *
 * <p>The version never decreases while the process runs. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class ConfigurationView implements ConfigurationSource, TopicFollower.Listener {
  /** Margin on the time to revoke a key, for the latency of a request and a late timer. */
  private static final int REVOKE_MARGIN_MS = 500;

  /** Network latency of a read, in addition to its wait in the store. */
  private static final int READ_LATENCY_MS = 250;

  private static final int MAX_PEER_PROOF_MS = 2_400;

  /** Time from the decision to read, without a wait in the store, to a proof. */
  private static final int PEER_PROOF_RESERVE_MS = 900;

  /** A peer that reported a proof within this time still has one; five heartbeats. */
  private static final long PEER_PROOF_NANOS = TimeUnit.SECONDS.toNanos(1);

  private static final int MAX_WAIT_MS = 2_000;
  private static final int MIN_WAIT_MS = 100;

  private final Decoder decoder;
  private final LongSupplier clockNanos;
  private final ElapsedClock elapsed;
  private final EventLog log;
  private final long keyTrustNanos;
  private final boolean isKeyProofRequired;
  private @Nullable TrafficConfig config;
  private @Nullable TopicFollower follower;
  private @Nullable Evacuations evacuations;
  private Consumer<String> ignoredValueListener = code -> {};
  private long peerProvedNanos = Long.MIN_VALUE / 2;
  private boolean isNewestUnreadable;
  private long peerVersion = Heartbeat.NO_CONFIG;
  private long peerVersionFirstNanos;
  private long peerVersionNanos = Long.MIN_VALUE / 2;
  private int processCount = 1;

  /**
   * Creates a view without a configuration.
   *
   * @param clockNanos the steady clock, not null
   * @param elapsed the clock for the ages of proofs: a box that was suspended must not use a key
   *     that was revoked meanwhile, not null
   * @param revokeMs the longest time for which a revoked key may be used, in milliseconds
   * @param isKeyProofRequired true if that limit must hold even while the store is unreachable
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
   * Returns the longest time that a read of the configuration may wait in the store, in
   * milliseconds. The age of a proof starts when its read is sent, and the proof must last until
   * the answer to the next read.
   */
  static int readWaitMs(int revokeMs) {
    int waitMs = (revokeMs - REVOKE_MARGIN_MS) / 2 - READ_LATENCY_MS;
    return Math.max(MIN_WAIT_MS, Math.min(MAX_WAIT_MS, waitMs));
  }

  /**
   * Returns the maximum age of a proof received from peers, in milliseconds, before this process
   * reads the configuration itself. A hub that can't read the store reports an old configuration
   * until then, and a change must be in force at its members within three seconds. The rest of the
   * time for which keys are trusted covers the check interval, the network latency of a read and a
   * late timer.
   */
  static int peerProofMs(int revokeMs) {
    int trustedMs = revokeMs - REVOKE_MARGIN_MS - PEER_PROOF_RESERVE_MS;
    return Math.max(MIN_WAIT_MS, Math.min(MAX_PEER_PROOF_MS, trustedMs));
  }

  void setFollower(TopicFollower configFollower) {
    follower = configFollower;
  }

  /** Sets the listener that is called with the code of each value that is not used. */
  void setIgnoredValueListener(Consumer<String> listener) {
    ignoredValueListener = listener;
  }

  /** Sets the evacuated zones, whose records are in the topic of the configuration. */
  void setEvacuations(Evacuations newEvacuations) {
    evacuations = newEvacuations;
  }

  void setProcessCount(int count) {
    processCount = count;
  }

  @Override
  public void onRecord(StoreRecord record) {
    byte[] value = record.value();
    String zone = decoder.evacuatedZone(record.key());
    if (zone != null && evacuations != null) {
      evacuations.applyRecord(zone, value != null, record.position());
      return;
    }
    if (value == null || !decoder.isConfiguration(record.key())) {
      return;
    }
    try {
      List<IgnoredValue> ignored = new ArrayList<>();
      TrafficConfig next = decoder.decode(value, ignored::add);
      if (config == null || next.version() > config.version()) {
        config = next;
        isNewestUnreadable = false;
        log.write("configuration_taken", "version", next.version(), "offset", record.offset());
        ignored.forEach(this::report);
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

  private void report(IgnoredValue ignored) {
    ignoredValueListener.accept(ignored.code());
    log.write(
        "configuration_value_ignored",
        ignored.owner().fieldName(),
        ignored.ownerName(),
        "code",
        ignored.code(),
        "why",
        ignored.why());
  }

  @Override
  public void onListed(Set<String> keys, StorePosition end) {
    if (evacuations == null) {
      return;
    }
    Set<String> zones = new HashSet<>();
    for (String key : keys) {
      String zone = decoder.evacuatedZone(key);
      if (zone != null) {
        zones.add(zone);
      }
    }
    evacuations.applyListing(zones, end);
  }

  @Override
  public @Nullable TrafficConfig config() {
    return config;
  }

  /** Returns the services of the configuration in force, none if there is no configuration. */
  Collection<UpstreamService> services() {
    return config == null ? List.of() : config.services();
  }

  /** Returns true if the service is declared, or if there is no configuration yet. */
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
   * Returns true if a peer has a later version than this process, although this process has read
   * all of the store since the peer first reported that version. The store was then restored from a
   * copy without it. That version may have revoked a key, which the copy still contains. A version
   * that this release cannot read is not lost.
   */
  private boolean hasStoreLostVersion(TopicFollower from) {
    return peerVersion > version()
        && !isNewestUnreadable
        && from.provenNanos() - peerVersionFirstNanos > 0
        && clockNanos.getAsLong() - peerVersionNanos < PEER_PROOF_NANOS;
  }

  /**
   * Returns true if this process should receive requests: it has a proof, or none is required and
   * no peer has one either.
   */
  boolean isServing() {
    boolean isPeerProved = clockNanos.getAsLong() - peerProvedNanos < PEER_PROOF_NANOS;
    return isProved() || (mayTrustKeys() && !isPeerProved);
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
   * Applies the configuration version and proof of a peer's heartbeat.
   *
   * <p>The peer sent its heartbeat after it had received the echoed one, which this process sent at
   * the echoed time. So the proof is no older than that time minus the age in the heartbeat.
   */
  void applyHeartbeat(Heartbeat heartbeat) {
    recordPeerVersion(heartbeat.configVersion());
    if (heartbeat.configAgeNanos() < keyTrustNanos) {
      peerProvedNanos = clockNanos.getAsLong();
    }
    TopicFollower from = follower;
    if (from != null && heartbeat.echoNanos() != 0) {
      from.acceptPeerProof(
          heartbeat.configNext(), heartbeat.echoNanos() - heartbeat.configAgeNanos());
    }
  }

  private void recordPeerVersion(long reported) {
    long nowNanos = clockNanos.getAsLong();
    boolean isExpired = nowNanos - peerVersionNanos >= PEER_PROOF_NANOS;
    if (reported > peerVersion || (isExpired && reported > version())) {
      peerVersion = reported;
      peerVersionFirstNanos = nowNanos;
    }
    if (reported == peerVersion) {
      peerVersionNanos = nowNanos;
    }
  }

  /** Returns the version in use, or {@link Heartbeat#NO_CONFIG} if there is none. */
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

  /** Decoder of the records of the configuration topic. */
  public interface Decoder {
    /** Returns true if the key is the key of the configuration. */
    boolean isConfiguration(String key);

    /**
     * Decodes the configuration.
     *
     * @param value the value of the record, not null
     * @param ignoredValues receives each value that is not used, not null
     * @throws RuntimeException if the value can't be read
     */
    TrafficConfig decode(byte[] value, Consumer<IgnoredValue> ignoredValues);

    /** Returns the zone whose evacuation a key requests, or null if it is another key. */
    default @Nullable String evacuatedZone(String key) {
      return null;
    }
  }
}
