package org.shoreroad.edge.room;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.shoreroad.admission.ReturnPlan;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.admission.RoomRefusal;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.peer.HeartbeatAdditions.RoomOwner;
import org.shoreroad.edge.relay.HeadView;
import org.shoreroad.edge.relay.RelayCounters;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.traffic.UpstreamService;

/**
 * Grants room at the open heads of the fabric domains that this process owns. Used on the event
 * loop.
 */
final class RoomService {
  /** Interval of the notices to a process whose request is queued. */
  static final int WAITING_NOTE_MS = 50;

  /** Interval of the decisions on queued requests, a fraction of a usual pass of an engine. */
  private static final int TICK_MS = 10;

  private final Supplier<Collection<UpstreamService>> services;
  private final BiFunction<UpstreamService, String, List<HeadView>> heads;
  private final Supplier<Set<String>> ownedDomains;
  private final Supplier<Map<String, Integer>> ownGranted;
  private final RoomLedger.Factory ledgers;
  private final RoomTicks ticks;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final RelayCounters counters;
  private final Map<String, ModelRoom> rooms = new HashMap<>();
  private boolean isTickScheduled;

  /**
   * Creates a service without room; {@link #refresh} adds it.
   *
   * @param services returns the services of the configuration in force, not null
   * @param heads returns the open heads of a model, not null
   * @param ownedDomains returns the keys of the domains that this process owns now, not null
   * @param ownGranted returns the requests of this process itself under grants of it, by the id of
   *     the head, not null
   */
  RoomService(
      Supplier<Collection<UpstreamService>> services,
      BiFunction<UpstreamService, String, List<HeadView>> heads,
      Supplier<Set<String>> ownedDomains,
      Supplier<Map<String, Integer>> ownGranted,
      RoomLedger.Factory ledgers,
      RoomTicks ticks,
      LongSupplier clockNanos,
      EventLog log,
      RelayCounters counters) {
    this.services = services;
    this.heads = heads;
    this.ownedDomains = ownedDomains;
    this.ownGranted = ownGranted;
    this.ledgers = ledgers;
    this.ticks = ticks;
    this.clockNanos = clockNanos;
    this.log = log;
    this.counters = counters;
  }

  /** Takes over the present state of the heads in the domains that this process owns. */
  void refresh() {
    Map<String, Integer> granted = ownGranted.get();
    Set<String> owned = ownedDomains.get();
    Set<String> current = new HashSet<>();
    for (UpstreamService service : services.get()) {
      if (service.engine() != null) {
        for (ModelShape shape : service.engine().models()) {
          refresh(service, shape, owned, granted, current);
        }
      }
    }
    for (String key : List.copyOf(rooms.keySet())) {
      if (!current.contains(key)) {
        rooms.remove(key).close();
      }
    }
    scheduleTick();
  }

  private void refresh(
      UpstreamService service,
      ModelShape shape,
      Set<String> allOwned,
      Map<String, Integer> granted,
      Set<String> current) {
    List<HeadView> listed = new ArrayList<>();
    Set<String> owned = new HashSet<>();
    for (HeadView head : heads.apply(service, shape.name())) {
      if (allOwned.contains(head.domain())) {
        listed.add(head);
        owned.add(head.domain());
      }
    }
    String key = keyOf(service.name(), shape.name());
    ModelRoom room = rooms.get(key);
    if (room != null) {
      room.domains().stream().filter(allOwned::contains).forEach(owned::add);
    }
    // The figures of the engine may have changed with the configuration.
    if (owned.isEmpty() || (room != null && !room.isOf(service))) {
      return;
    }
    if (room == null) {
      RoomLedger ledger = ledgers.create(service.engine(), shape);
      room = new ModelRoom(service, shape.name(), ledger, clockNanos, counters);
      rooms.put(key, room);
    }
    current.add(key);
    room.setHeads(listed, owned, granted);
  }

  private static String keyOf(String service, String model) {
    return service + "/" + model;
  }

  /** Handles a message of a process, which may be this one. */
  void receive(RoomMessage message, RoomReplies replies) {
    if (message instanceof RoomMessage.Ask ask) {
      ask(ask, replies);
    } else if (message instanceof RoomMessage.End end) {
      for (ModelRoom room : List.copyOf(rooms.values())) {
        if (room.knows(end.key())) {
          room.end(end.key(), end.end());
        }
      }
    } else if (message instanceof RoomMessage.Renewal renewal) {
      renew(renewal, replies);
    } else if (message instanceof RoomMessage.Tickets tickets) {
      ModelRoom room = rooms.get(keyOf(tickets.service(), tickets.model()));
      if (room != null) {
        room.addTickets(tickets.tickets());
      }
    }
  }

  /** Renews grants, and reports to their process which of them are lost. */
  private void renew(RoomMessage.Renewal renewal, RoomReplies replies) {
    Set<Long> held = new HashSet<>();
    for (ModelRoom room : rooms.values()) {
      held.addAll(room.renew(renewal.holder(), renewal.numbers()));
    }
    Set<Long> lost = new HashSet<>(renewal.numbers());
    lost.removeAll(held);
    replies.send(new RoomMessage.Renewed(renewal.holder(), held, lost));
  }

  private void ask(RoomMessage.Ask ask, RoomReplies replies) {
    ModelRoom room = rooms.get(keyOf(ask.service(), ask.model()));
    if (room == null || !ownedDomains.get().containsAll(room.domains())) {
      refresh();
      room = rooms.get(keyOf(ask.service(), ask.model()));
    }
    if (room == null) {
      counters.count("shoreroad.room.decisions", RoomRefusal.NOT_OWNER.code());
      RoomDecision refusal = RoomDecision.refused(ask.request().key(), RoomRefusal.NOT_OWNER, 0);
      replies.send(new RoomMessage.Decided(refusal, 0));
      return;
    }
    room.ask(ask.request(), replies);
    scheduleTick();
  }

  private void tick() {
    isTickScheduled = false;
    for (ModelRoom room : List.copyOf(rooms.values())) {
      if (room.isAnyWaiting()) {
        room.advance();
      }
    }
    scheduleTick();
  }

  private void scheduleTick() {
    if (!isTickScheduled && rooms.values().stream().anyMatch(ModelRoom::isAnyWaiting)) {
      isTickScheduled = true;
      ticks.once(TICK_MS, this::tick);
    }
  }

  /**
   * Sends new invitations to the other owners of each model.
   *
   * @param owners returns the owners of heads of a model, by the key of the domain
   */
  void shareTickets(
      BiFunction<UpstreamService, String, Map<String, RoomOwner>> owners,
      String self,
      RoomPort port) {
    for (ModelRoom room : rooms.values()) {
      List<ReturnPlan.Ticket> tickets = room.takeNewTickets();
      if (tickets.isEmpty()) {
        continue;
      }
      RoomMessage message = new RoomMessage.Tickets(room.service().name(), room.model(), tickets);
      new HashSet<>(owners.apply(room.service(), room.model()).values())
          .stream()
              .filter(owner -> !owner.process().equals(self))
              .forEach(owner -> port.send(owner, message));
    }
  }

  /** Logs the room of each model and the decisions since the last summary. */
  void summarize() {
    rooms.values().forEach(room -> room.summarize(log));
  }
}
