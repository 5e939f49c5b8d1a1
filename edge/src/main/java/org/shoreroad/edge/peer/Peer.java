package org.shoreroad.edge.peer;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.member.HubPlan.ProcessLocation;

/** One other process: what was last heard of it, and the way to it. Used on the event loop. */
final class Peer {
  /** A peer that was not heard for this long is not counted as alive: six heartbeats. */
  static final long ALIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(6 * PeerMesh.INTERVAL_MS);

  /** How long a hub that did not answer is passed over. */
  private static final long OUT_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final ProcessLocation place;
  private StorePosition position;
  private final PeerConnection link;
  private final EventLog log;
  private final ListProgress listProgress = new ListProgress();
  private long outSinceNanos = Long.MIN_VALUE / 2;
  private long usedNanos;
  private long awaitedSinceNanos;
  private long lastReceivedNanos;
  private @Nullable Heartbeat last;

  /**
   * Creates a peer that was not heard yet.
   *
   * @param position the place of its announcement among all, not null
   */
  Peer(ProcessLocation place, StorePosition position, PeerConnection link, EventLog log) {
    this.place = place;
    this.position = position;
    this.link = link;
    this.log = log;
  }

  String name() {
    return place.name();
  }

  ProcessLocation place() {
    return place;
  }

  /** Takes note that the process announced itself again. */
  void noteAnnounced(StorePosition newPosition) {
    position = newPosition;
  }

  StorePosition position() {
    return position;
  }

  void receive(Heartbeat heartbeat, long nowNanos) {
    last = heartbeat;
    lastReceivedNanos = nowNanos;
  }

  boolean hasHeartbeatWithin(long windowNanos, long nowNanos) {
    return last != null && nowNanos - lastReceivedNanos < windowNanos;
  }

  long lastReceivedNanos() {
    return lastReceivedNanos;
  }

  /** Returns the last heartbeat of a peer that was heard. */
  Heartbeat lastHeartbeat() {
    return Objects.requireNonNull(last, "last");
  }

  /**
   * Returns the changes of the list that this peer has neither acknowledged nor just been sent, and
   * records them as sent.
   *
   * @param listSince returns the changes from a position on, not null
   * @param nowNanos the steady clock
   */
  ListUpdate listUpdate(Function<StorePosition, ListUpdate> listSince, long nowNanos) {
    StorePosition held = lastHeartbeat().listUpdate().end();
    ListUpdate update = listSince.apply(listProgress.next(held, nowNanos));
    if (update.isProof()) {
      listProgress.recordSent(update.end(), nowNanos);
    }
    return update;
  }

  /** Returns true if it did not answer lately, so that others are to be hubs. */
  boolean isUnresponsive(long nowNanos) {
    boolean hasFailed =
        nowNanos - outSinceNanos < OUT_NANOS || nowNanos - link.refusedNanos() < OUT_NANOS;
    return hasFailed && !hasHeartbeatWithin(ALIVE_NANOS, nowNanos);
  }

  /** Sends to a hub; one that stays silent for long is passed over. */
  void sendExpectingAnswer(Heartbeat heartbeat, long nowNanos) {
    if (nowNanos - usedNanos > ALIVE_NANOS) {
      awaitedSinceNanos = nowNanos;
    }
    boolean isSilent = !hasHeartbeatWithin(ALIVE_NANOS, nowNanos);
    if (isSilent && nowNanos - awaitedSinceNanos > ALIVE_NANOS && !isUnresponsive(nowNanos)) {
      outSinceNanos = nowNanos;
      log.write("hub_silent", "peer", place.name());
    }
    send(heartbeat, nowNanos);
  }

  void send(Heartbeat heartbeat, long nowNanos) {
    usedNanos = nowNanos;
    link.send(heartbeat, last == null ? 0 : last.sentNanos(), nowNanos);
  }

  /** Sends an encoded notice if the connection stands; heartbeats carry the same a moment later. */
  void sendNotice(byte[] frame) {
    link.send(frame);
  }

  void closeIfUnused(long nowNanos) {
    link.closeIfUnused(nowNanos);
  }

  void close() {
    link.close();
  }
}
