package org.shoreroad.edge.peer;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.member.HubPlan.ProcessLocation;

/**
 * Another process: its latest heartbeat and the connection to it. Not thread-safe: for use on the
 * event loop.
 */
final class Peer {
  /** Time without a heartbeat after which a peer is not counted as alive: six intervals. */
  static final long ALIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(6 * PeerMesh.INTERVAL_MS);

  /** Time for which a peer that did not answer is not chosen as a hub. */
  private static final long EXCLUSION_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final ProcessLocation location;
  private StorePosition position;
  private final PeerConnection connection;
  private final EventLog log;
  private final ListProgress listProgress = new ListProgress();
  private long excludedSinceNanos = Long.MIN_VALUE / 2;
  private long lastSentNanos;
  private long awaitedSinceNanos;
  private long lastReceivedNanos;
  private @Nullable Heartbeat lastHeartbeat;

  /**
   * Creates a peer without a heartbeat.
   *
   * @param position the position of its announcement in the store, not null
   */
  Peer(ProcessLocation location, StorePosition position, PeerConnection connection, EventLog log) {
    this.location = location;
    this.position = position;
    this.connection = connection;
    this.log = log;
  }

  String name() {
    return location.name();
  }

  /** Returns its address for other processes, as host and port. */
  String address() {
    return connection.address();
  }

  ProcessLocation location() {
    return location;
  }

  /** Records that the process has announced itself again. */
  void noteAnnounced(StorePosition newPosition) {
    position = newPosition;
  }

  StorePosition position() {
    return position;
  }

  void receive(Heartbeat heartbeat, long nowNanos) {
    lastHeartbeat = heartbeat;
    lastReceivedNanos = nowNanos;
  }

  boolean hasHeartbeatWithin(long windowNanos, long nowNanos) {
    return lastHeartbeat != null && nowNanos - lastReceivedNanos < windowNanos;
  }

  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  /** Returns the latest heartbeat of a peer that has sent one. */
  Heartbeat lastHeartbeat() {
    return Objects.requireNonNull(lastHeartbeat, "last");
  }

  /**
   * Returns the changes of the upstream list that this peer has neither acknowledged nor just been
   * sent, and records them as sent.
   *
   * @param listSince returns the changes from a position on, not null
   * @param nowNanos the steady clock
   */
  ListUpdate listUpdate(Function<StorePosition, ListUpdate> listSince, long nowNanos) {
    StorePosition acknowledged = lastHeartbeat().listUpdate().end();
    ListUpdate update = listSince.apply(listProgress.next(acknowledged, nowNanos));
    if (update.hasProof()) {
      listProgress.recordSent(update.end(), nowNanos);
    }
    return update;
  }

  /** Returns true if the peer has recently not answered and so is not chosen as a hub. */
  boolean isUnresponsive(long nowNanos) {
    boolean hasFailed =
        nowNanos - excludedSinceNanos < EXCLUSION_NANOS
            || nowNanos - connection.refusedNanos() < EXCLUSION_NANOS;
    return hasFailed && !hasHeartbeatWithin(ALIVE_NANOS, nowNanos);
  }

  /**
   * Sends a heartbeat to a hub; a hub without an answer for {@link #ALIVE_NANOS} becomes
   * unresponsive.
   */
  void sendExpectingAnswer(Heartbeat heartbeat, long nowNanos) {
    if (nowNanos - lastSentNanos > ALIVE_NANOS) {
      awaitedSinceNanos = nowNanos;
    }
    boolean isWithoutAnswer = !hasHeartbeatWithin(ALIVE_NANOS, nowNanos);
    if (isWithoutAnswer
        && nowNanos - awaitedSinceNanos > ALIVE_NANOS
        && !isUnresponsive(nowNanos)) {
      excludedSinceNanos = nowNanos;
      log.write("hub_silent", "peer", location.name());
    }
    send(heartbeat, nowNanos);
  }

  void send(Heartbeat heartbeat, long nowNanos) {
    lastSentNanos = nowNanos;
    connection.send(heartbeat, lastHeartbeat == null ? 0 : lastHeartbeat.sentNanos(), nowNanos);
  }

  /** Sends an encoded notice if the connection is open; the next heartbeats carry the same. */
  void sendNotice(byte[] frame) {
    connection.send(frame);
  }

  void closeIfUnused(long nowNanos) {
    connection.closeIfUnused(nowNanos);
  }

  void close() {
    connection.close();
  }
}
