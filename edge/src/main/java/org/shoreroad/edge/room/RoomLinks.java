package org.shoreroad.edge.room;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.http.NumericAddress;
import org.shoreroad.edge.peer.HeartbeatAdditions.RoomOwner;
import org.shoreroad.edge.peer.PeerLink;

/** Direct connections to the owners of fabric domains, and to this process. */
final class RoomLinks implements RoomPort {
  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final String self;
  private final Predicate<RoomMessage> toSelf;
  private final Listener listener;
  private final Map<RoomOwner, PeerLink> links = new HashMap<>();

  /** Receives replies and losses. */
  interface Listener {
    /** Called with each reply of an owner. */
    void onReply(String owner, RoomMessage message);

    /** Called when the connection to an owner was lost. */
    void onLost(String owner);
  }

  /**
   * Creates an instance without connections.
   *
   * @param self the name of this process, not null
   * @param toSelf handles the messages to this process as an owner and returns false if that fails,
   *     not null
   */
  RoomLinks(
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      String self,
      Predicate<RoomMessage> toSelf,
      Listener listener) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.log = log;
    this.self = self;
    this.toSelf = toSelf;
    this.listener = listener;
  }

  @Override
  public boolean send(RoomOwner owner, RoomMessage message) {
    if (owner.process().equals(self)) {
      return toSelf.test(message);
    }
    if (!NumericAddress.isValid(owner.address())) {
      log.write("room_owner_unusable", "process", owner.process(), "address", owner.address());
      return false;
    }
    return links
        .computeIfAbsent(owner, added -> new PeerLink(loop, clockNanos, added.address(), on(added)))
        .send(RoomCodec.toBytes(message));
  }

  private PeerLink.Listener on(RoomOwner owner) {
    return new PeerLink.Listener() {
      @Override
      public void onFrame(byte[] frame) throws IOException {
        if (RoomCodec.isRoomMessage(frame)) {
          RoomCodec.parse(frame).ifPresent(message -> listener.onReply(owner.process(), message));
        }
      }

      @Override
      public void onLost() {
        log.write("room_link_lost", "process", owner.process());
        listener.onLost(owner.process());
      }
    };
  }

  /** Closes the connections that were not used for some time. */
  void closeIdle() {
    long nowNanos = clockNanos.getAsLong();
    links.values().removeIf(link -> link.closeIfIdle(nowNanos));
  }
}
