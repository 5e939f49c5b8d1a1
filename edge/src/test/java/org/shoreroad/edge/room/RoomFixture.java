package org.shoreroad.edge.room;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.peer.HeartbeatAdditions.RoomOwner;
import org.shoreroad.edge.relay.HeadView;
import org.shoreroad.edge.relay.RoomBroker;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.traffic.UpstreamService;

/**
 * Fixture with three owners, each of a domain with one head, and an asking process, on a virtual
 * clock. Messages arrive at once unless an owner is silent.
 */
abstract class RoomFixture {
  static final String SELF = "front-1~a";
  static final int SLOTS = 2;
  static final UpstreamService LLM =
      new UpstreamService(
          "llm",
          100,
          new EngineSpec(
              SLOTS,
              9_999,
              5,
              0,
              0,
              46_000,
              64,
              1,
              4,
              6,
              200,
              List.of(new ModelShape("m", 1, 1, 1, 9, 1))));

  final FakeTicks ticks = new FakeTicks();
  final EventLog log = new EventLog("t", ticks::nowNanos, OutputStream.nullOutputStream());
  final EdgeMetrics metrics = new EdgeMetrics();
  final Map<String, Owner> owners = new HashMap<>();
  final List<HeadView> heads = new ArrayList<>();
  final RoomOwners known =
      new RoomOwners(
          "z", (service, model) -> List.copyOf(heads), ticks::nowNanos, new SplittableRandom(4));
  final RoomClient client =
      new RoomClient(SELF, "z", known, this::send, ticks, ticks::nowNanos, metrics);

  /** Owner of one domain. */
  final class Owner {
    final String name;
    final FakeLedger ledger;
    final Set<String> domains = new HashSet<>();
    final RoomService service;
    boolean isSilent;
    boolean isUnreachable;

    Owner(String name, int maxWaiting) {
      this.name = name;
      this.ledger = new FakeLedger(SLOTS, maxWaiting);
      this.service =
          new RoomService(
              () -> List.of(LLM),
              (service, model) -> List.copyOf(heads),
              () -> Set.copyOf(domains),
              Map::of,
              (spec, model) -> ledger,
              ticks,
              ticks::nowNanos,
              log,
              metrics);
    }

    void receive(RoomMessage message) {
      service.receive(
          message,
          new RoomReplies() {
            @Override
            public boolean isOpen() {
              return !isUnreachable;
            }

            @Override
            public void send(RoomMessage reply) {
              if (!isSilent && !isUnreachable) {
                client.receive(name, reply);
              }
            }
          });
    }
  }

  private boolean send(RoomOwner to, RoomMessage message) {
    Owner owner = owners.get(to.process());
    if (owner.isUnreachable) {
      return false;
    }
    if (!owner.isSilent) {
      owner.receive(message);
    }
    return true;
  }

  /** Adds an owner of one domain with one head. */
  final Owner addOwner(String name, int maxWaiting) {
    Owner owner = new Owner(name, maxWaiting);
    owners.put(name, owner);
    owner.domains.add("llm/d-" + name);
    heads.add(
        new HeadView(
            "h-" + name, "llm/d-" + name, "z", 0, 0, 0, 1, Double.POSITIVE_INFINITY, true));
    owner.service.refresh();
    announce();
    return owner;
  }

  /** Makes the present owners known to the asking process. */
  final void announce() {
    Map<String, RoomOwner> byDomain = new HashMap<>();
    for (Owner owner : owners.values()) {
      owner.domains.forEach(
          domain -> byDomain.put(domain, new RoomOwner(owner.name, "10.0.0.1:1")));
    }
    known.setOwners(byDomain);
  }

  /** Returns an ask that was sent. */
  final Asked ask() {
    return ask(Set.of());
  }

  final Asked ask(Set<String> excludedHeads) {
    long nowNanos = ticks.nowNanos();
    RoomBroker.Query query =
        new RoomBroker.Query(
            LLM,
            "m",
            "office",
            1,
            20,
            10,
            nowNanos,
            nowNanos + TimeUnit.SECONDS.toNanos(2),
            500,
            100,
            42,
            excludedHeads);
    Asked asked = new Asked();
    asked.ask = client.prepare(query, asked);
    asked.ask.send();
    return asked;
  }

  /** Ask of the asking process, and its result. */
  static final class Asked implements RoomBroker.Listener {
    RoomBroker.Ask ask;
    RoomBroker.Grant grant;
    RoomDecision refusal;
    Set<String> covered;
    boolean isUnavailable;
    int results;

    @Override
    public void onGranted(RoomBroker.Grant newGrant) {
      grant = newGrant;
      results++;
    }

    @Override
    public void onRefused(RoomDecision decision, Set<String> coveredHeads) {
      refusal = decision;
      covered = coveredHeads;
      results++;
    }

    @Override
    public void onUnavailable() {
      isUnavailable = true;
      results++;
    }

    void end() {
      grant.end(GrantEnd.USED);
    }
  }
}
