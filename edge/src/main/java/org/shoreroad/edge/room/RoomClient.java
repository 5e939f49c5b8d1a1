package org.shoreroad.edge.room;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.RoomBook;
import org.shoreroad.admission.RoomRequest;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.peer.HeartbeatAdditions.RoomOwner;
import org.shoreroad.edge.relay.RelayCounters;
import org.shoreroad.edge.relay.RoomBroker;
import org.shoreroad.traffic.UpstreamService;

/**
 * Asks the owners of fabric domains for room for the requests of this process, reports the end of
 * each grant and renews those in use. Used on the event loop.
 */
final class RoomClient implements RoomBroker {
  /** Interval of the checks for owners that do not reply. */
  private static final int TICK_MS = 10;

  /** Time after which an owner that didn't reply or was lost is asked again. */
  private static final long AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long GRANT_NANOS = TimeUnit.MILLISECONDS.toNanos(RoomBook.grantMillis());

  private final String self;
  private final String zone;
  private final RoomOwners owners;
  private final RoomPort port;
  private final RoomTicks ticks;
  private final LongSupplier clockNanos;
  private final RelayCounters counters;
  private final Map<Long, RoomAsk> open = new HashMap<>();
  private final Map<Long, HeldGrant> granted = new HashMap<>();
  private final Map<String, Integer> results = new TreeMap<>();
  private long lastNumber;
  private boolean isTickScheduled;

  /**
   * Creates a client without asks.
   *
   * @param self the name of this process, not null
   * @param zone its availability zone, not null
   */
  RoomClient(
      String self,
      String zone,
      RoomOwners owners,
      RoomPort port,
      RoomTicks ticks,
      LongSupplier clockNanos,
      RelayCounters counters) {
    this.self = self;
    this.zone = zone;
    this.owners = owners;
    this.port = port;
    this.ticks = ticks;
    this.clockNanos = clockNanos;
    this.counters = counters;
  }

  @Override
  public boolean isShared(UpstreamService service, String model) {
    return owners.isAnyKnown(service, model);
  }

  @Override
  public Ask prepare(Query query, Listener listener) {
    return new RoomAsk(this, query, listener);
  }

  /**
   * Handles a reply of an owner; other messages are ignored. An owner that replies late is asked
   * again from then on.
   */
  void receive(String owner, RoomMessage message) {
    owners.recordReply(owner);
    if (message instanceof RoomMessage.Waiting waiting) {
      RoomAsk ask = findAsk(owner, waiting.key());
      if (ask != null) {
        ask.onWaiting();
      }
    } else if (message instanceof RoomMessage.Decided decided) {
      receiveDecision(owner, decided);
    } else if (message instanceof RoomMessage.Renewed renewed && renewed.holder().equals(self)) {
      renewed.held().forEach(number -> onRenewed(owner, number, true));
      renewed.lost().forEach(number -> onRenewed(owner, number, false));
    }
  }

  private void receiveDecision(String owner, RoomMessage.Decided decided) {
    RoomRequest.Key key = decided.decision().key();
    if (!key.holder().equals(self)) {
      return;
    }
    RoomAsk ask = findAsk(owner, key);
    if (ask != null) {
      open.remove(key.number());
      ask.onDecided(decided);
    } else if (decided.decision().isGranted() && !granted.containsKey(key.number())) {
      // The request has ended or gone elsewhere since it was asked.
      record("unused", "late");
      owners
          .find(owner)
          .ifPresent(found -> port.send(found, new RoomMessage.End(key, GrantEnd.UNUSED)));
    }
  }

  private void onRenewed(String owner, long number, boolean isHeld) {
    HeldGrant grant = granted.get(number);
    if (grant == null || !grant.owner.process().equals(owner)) {
      return;
    }
    if (isHeld) {
      grant.renewedNanos = grant.askedNanos;
    } else if (!grant.isLost) {
      grant.isLost = true;
      record("lost", "not_held");
    }
  }

  private @Nullable RoomAsk findAsk(String owner, RoomRequest.Key key) {
    RoomAsk ask = key.holder().equals(self) ? open.get(key.number()) : null;
    return ask != null && ask.isAt(owner) ? ask : null;
  }

  /** Asks other owners instead of one whose connection was lost. */
  void onOwnerLost(String owner) {
    avoid(owner);
    for (RoomAsk ask : List.copyOf(open.values())) {
      if (ask.isAt(owner) && open.containsValue(ask)) {
        ask.onSilent("owner_lost");
      }
    }
  }

  /** Does not ask an owner for a while. */
  void avoid(String owner) {
    owners.avoid(owner, clockNanos.getAsLong() + AVOID_NANOS);
  }

  private void tick() {
    isTickScheduled = false;
    long nowNanos = clockNanos.getAsLong();
    for (RoomAsk ask : List.copyOf(open.values())) {
      if (ask.isSilentAt(nowNanos)) {
        avoid(ask.ownerName());
        ask.onSilent("no_reply");
      }
    }
    scheduleTick();
  }

  private void scheduleTick() {
    if (!isTickScheduled && !open.isEmpty()) {
      isTickScheduled = true;
      ticks.once(TICK_MS, this::tick);
    }
  }

  /** Registers an ask, sends it, and returns its number, or -1 if it is known to be lost. */
  long register(RoomAsk ask) {
    long number = ++lastNumber;
    open.put(number, ask);
    scheduleTick();
    return number;
  }

  /** Removes an ask; returns true if it was registered. */
  boolean unregister(long number) {
    return open.remove(number) != null;
  }

  RoomRequest.Key keyOf(long number) {
    return new RoomRequest.Key(self, number);
  }

  RoomOwners owners() {
    return owners;
  }

  RoomPort port() {
    return port;
  }

  String zone() {
    return zone;
  }

  long nowNanos() {
    return clockNanos.getAsLong();
  }

  /** Records granted room until its end is reported. */
  Grant hold(RoomOwner owner, RoomRequest.Key key, String headId, String domain) {
    HeldGrant grant = new HeldGrant(owner, key, headId, domain);
    granted.put(key.number(), grant);
    return grant;
  }

  /**
   * Asks each owner to renew the grants in use, with one message. Those that expire without an
   * answer, because a process was suspended or cut off from the other, and those that the owner no
   * longer holds, are load without a grant from then on.
   */
  void renew() {
    long nowNanos = clockNanos.getAsLong();
    Map<RoomOwner, Set<Long>> numbers = new HashMap<>();
    for (HeldGrant grant : granted.values()) {
      if (!grant.hasExpiredAt(nowNanos)) {
        numbers.computeIfAbsent(grant.owner, added -> new HashSet<>()).add(grant.key.number());
        grant.askedNanos = nowNanos;
      }
    }
    numbers.forEach((owner, held) -> port.send(owner, new RoomMessage.Renewal(self, held)));
  }

  /** Returns the number of requests under grants of the present owners, by the id of the head. */
  Map<String, Integer> grantedOpen() {
    long nowNanos = clockNanos.getAsLong();
    Map<String, Integer> counts = new HashMap<>();
    for (HeldGrant grant : granted.values()) {
      if (owners.isOwner(grant.owner.process(), grant.domain) && !grant.hasExpiredAt(nowNanos)) {
        counts.merge(grant.headId, 1, Integer::sum);
      }
    }
    return counts;
  }

  /** Returns the number of requests under grants of one owner, by the id of the head. */
  Map<String, Integer> grantedBy(String owner) {
    long nowNanos = clockNanos.getAsLong();
    Map<String, Integer> counts = new HashMap<>();
    for (HeldGrant grant : granted.values()) {
      if (grant.owner.process().equals(owner) && !grant.hasExpiredAt(nowNanos)) {
        counts.merge(grant.headId, 1, Integer::sum);
      }
    }
    return counts;
  }

  /** Counts a result of an ask, for the metrics and the next summary. */
  void record(String counter, String reason) {
    counters.count("shoreroad.room." + counter, reason);
    results.merge(counter + ":" + reason, 1, Integer::sum);
  }

  /** Logs the results of the asks since the last summary, if there are any. */
  void summarize(EventLog log) {
    if (!results.isEmpty()) {
      log.write(
          "room_asks", "open", open.size(), "held", granted.size(), "results", results.toString());
      results.clear();
    }
  }

  /** Returns the number of asks without a result. */
  int openCount() {
    return open.size();
  }

  /** Returns the number of grants in use. */
  int grantedCount() {
    return granted.size();
  }

  private final class HeldGrant implements Grant {
    private final RoomOwner owner;
    private final RoomRequest.Key key;
    private final String headId;
    private final String domain;
    private long renewedNanos;

    /** Time of the last message that asks for the renewal; the owner renews no earlier. */
    private long askedNanos;

    private boolean isLost;

    HeldGrant(RoomOwner owner, RoomRequest.Key key, String headId, String domain) {
      this.owner = owner;
      this.key = key;
      this.headId = headId;
      this.domain = domain;
      this.renewedNanos = clockNanos.getAsLong();
      this.askedNanos = renewedNanos;
    }

    boolean hasExpiredAt(long nowNanos) {
      return isLost || nowNanos - renewedNanos > GRANT_NANOS;
    }

    @Override
    public String headId() {
      return headId;
    }

    @Override
    public boolean isInForce() {
      return !hasExpiredAt(clockNanos.getAsLong());
    }

    @Override
    public void end(GrantEnd end) {
      if (granted.remove(key.number()) != null) {
        port.send(owner, new RoomMessage.End(key, end));
      }
    }
  }
}
