package org.shoreroad.edge.room;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.peer.HeartbeatAdditions;
import org.shoreroad.edge.peer.HeartbeatAdditions.RoomOwner;
import org.shoreroad.edge.peer.PeerFrames;
import org.shoreroad.edge.relay.HeadViews;
import org.shoreroad.edge.relay.RelayCounters;
import org.shoreroad.edge.relay.RoomBroker;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/**
 * Room at replica heads that all processes share: creates and connects the service, the client and
 * the connections of this process. Used on the event loop.
 *
 * @since 0.2
 */
public final class RoomSharing implements PeerFrames {
  /** Interval at which owners take over load reports, the same as that of the reports. */
  private static final int REFRESH_MS = 100;

  private static final int RENEWAL_MS = 400;
  private static final int TICKETS_MS = 200;
  private static final int SUMMARY_MS = 2_000;
  private static final int SAMPLE_MS = 1_000;
  private static final int IDLE_CHECK_MS = 1_000;

  private final EventLoop loop;
  private final RepeatingTimer timer;
  private final EventLog log;
  private final RelayCounters counters;
  private final RoomOwner self;
  private final Supplier<Set<String>> ownedDomains;
  private final Supplier<Collection<Heartbeat>> latestHeartbeats;
  private final RoomActivation activation;
  private final Consumer<Boolean> activityListener;
  private final RoomOwners owners;
  private final RoomLinks links;
  private final RoomClient client;
  private final RoomService service;
  private boolean isActive;

  /**
   * This process as the receiver of its own replies, which arrive later like those of others: a
   * freed slot may otherwise start a request while the end of another one is still under way.
   */
  private final RoomReplies ownReplies =
      new RoomReplies() {
        @Override
        public boolean isOpen() {
          return true;
        }

        @Override
        public void send(RoomMessage message) {
          loop.execute(() -> client.receive(self.process(), message));
        }
      };

  /**
   * Creates an instance; {@link #start} starts its timers.
   *
   * @param self the name of this process and its address for other processes, not null
   * @param zone the availability zone of this process, not null
   * @param ownedDomains returns the keys of the domains that this process owns now, not null
   * @param latestHeartbeats returns the heartbeats that together cover all others, not null
   * @param activityListener called with true when room is shared from now on, and with false when
   *     it is not any more, not null
   * @param activation decides when room is shared, not null
   * @param closingHeads returns the ids of the heads of replicas that this process is closing
   * @param config returns the configuration in force, or null while there is none, not null
   */
  public RoomSharing(
      EventLoop loop,
      LongSupplier clockNanos,
      RandomGenerator random,
      EventLog log,
      RelayCounters counters,
      RoomOwner self,
      String zone,
      Supplier<Set<String>> ownedDomains,
      Supplier<Collection<Heartbeat>> latestHeartbeats,
      Supplier<@Nullable TrafficConfig> config,
      HeadViews heads,
      Supplier<Set<String>> closingHeads,
      RoomActivation activation,
      Consumer<Boolean> activityListener) {
    this.loop = loop;
    this.log = log;
    this.counters = counters;
    this.timer = new RepeatingTimer(loop, log);
    this.self = self;
    this.ownedDomains = ownedDomains;
    this.latestHeartbeats = latestHeartbeats;
    this.activation = activation;
    this.activityListener = activityListener;
    RoomTicks ticks = (delayMs, task) -> timer.once(delayMs, "room", task);
    this.owners = new RoomOwners(zone, heads::of, clockNanos, random);
    this.links = new RoomLinks(loop, clockNanos, log, self.process(), this::toSelf, listener());
    this.client = new RoomClient(self.process(), zone, owners, links, ticks, clockNanos, counters);
    this.service =
        new RoomService(
            () -> services(config.get()),
            (upstreams, model) -> heads.of(upstreams, model, closingHeads.get()),
            ownedDomains,
            () -> client.grantedBy(self.process()),
            (spec, model) -> RoomLedger.of(spec, model, random),
            ticks,
            clockNanos,
            log,
            counters);
  }

  private static Collection<UpstreamService> services(@Nullable TrafficConfig config) {
    return config == null ? List.of() : config.services();
  }

  private RoomLinks.Listener listener() {
    return new RoomLinks.Listener() {
      @Override
      public void onReply(String owner, RoomMessage message) {
        client.receive(owner, message);
      }

      @Override
      public void onLost(String owner) {
        client.onOwnerLost(owner);
      }
    };
  }

  /** Starts the timers. */
  public void start() {
    timer.every(SAMPLE_MS, "room demand", activation::sample);
    timer.every(REFRESH_MS, "room of heads", this::refresh);
    timer.every(RENEWAL_MS, "room renewals", client::renew);
    timer.every(
        TICKETS_MS,
        "room tickets",
        () -> service.shareTickets(owners::ownersOf, self.process(), links));
    timer.every(SUMMARY_MS, "room summary", this::summarize);
    timer.every(IDLE_CHECK_MS, "room links", links::closeIdle);
  }

  private void summarize() {
    if (!isActive) {
      return;
    }
    service.summarize();
    client.summarize(log);
  }

  /** Returns the broker for the requests of this process. */
  public RoomBroker broker() {
    return client;
  }

  /** Adds the granted requests and the owned domains of this process to a heartbeat. */
  public HeartbeatAdditions contribute(HeartbeatAdditions additions) {
    return additions.withRoom(client.grantedOpen(), ownDomains());
  }

  private Map<String, RoomOwner> ownDomains() {
    if (!isActive) {
      return Map.of();
    }
    Map<String, RoomOwner> own = new HashMap<>();
    ownedDomains.get().forEach(domain -> own.put(domain, self));
    return own;
  }

  private void refresh() {
    boolean wasActive = isActive;
    isActive = activation.isActive();
    if (isActive != wasActive) {
      log.write("room_sharing", "isActive", isActive);
      activityListener.accept(isActive);
    }
    if (isActive) {
      takeOver();
    } else if (wasActive) {
      // Without owners, requests go where their processes choose; grants in use run on.
      owners.setOwners(Map.of());
    }
  }

  private void takeOver() {
    Map<String, RoomOwner> known = new HashMap<>();
    for (Heartbeat heartbeat : latestHeartbeats.get()) {
      known.putAll(heartbeat.additions().roomOwners());
    }
    // A heartbeat of a hub may still name a domain that this process has given up.
    known.values().removeIf(owner -> owner.process().equals(self.process()));
    known.putAll(ownDomains());
    owners.setOwners(known);
    service.refresh();
  }

  private boolean toSelf(RoomMessage message) {
    return handle(message, ownReplies);
  }

  /** Handles a message to this process as an owner; returns false if that fails. */
  private boolean handle(RoomMessage message, RoomReplies replies) {
    try {
      service.receive(message, replies);
      return true;
    } catch (RuntimeException e) {
      // The request goes to another owner or where its process chooses.
      counters.count("shoreroad.room.failures", e.getClass().getSimpleName());
      String place = e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0].toString();
      log.write("room_failed", "why", String.valueOf(e), "place", place);
      return false;
    }
  }

  @Override
  public boolean accepts(byte[] frame) {
    return RoomCodec.isRoomMessage(frame);
  }

  @Override
  public void receive(byte[] frame, Replies replies) throws IOException {
    RoomReplies way =
        new RoomReplies() {
          @Override
          public boolean isOpen() {
            return replies.isOpen();
          }

          @Override
          public void send(RoomMessage message) {
            replies.send(RoomCodec.toBytes(message));
          }
        };
    RoomCodec.parse(frame).ifPresent(message -> handle(message, way));
  }
}
