package org.shoreroad.edge.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.edge.peer.Heartbeat.Load;
import org.shoreroad.edge.peer.Heartbeat.Scope;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.fleet.FleetBox;

/**
 * Makes one heartbeat of several: the loads are added up, suspicions and questions are joined.
 *
 * <p>All methods are pure and thread-safe.
 */
final class Digest {
  private Digest() {}

  /**
   * Returns what a hub tells in the name of itself and others.
   *
   * @param own the hub's own reports, not null
   * @param scope for whom it then speaks, not null
   * @param others what the others told, not null
   * @param witnesses the other hubs that were asked about silent boxes, not null; a box that
   *     answers any of them is not silent
   * @param reports the newest status reports of engines, not null
   * @param listUpdate what the receiver lacks of the list, not null
   * @param nowNanos the steady clock
   * @return the heartbeat, without an echo
   */
  static Heartbeat merge(
      Heartbeat own,
      Scope scope,
      Collection<ReceivedHeartbeat> others,
      Collection<ReceivedHeartbeat> witnesses,
      List<FleetBox> reports,
      ListUpdate listUpdate,
      long nowNanos) {
    Map<String, Load> loads = new HashMap<>();
    own.loads().forEach(load -> add(loads, load, 0));
    Set<String> suspected = new HashSet<>(own.suspectedUpstreams());
    Map<String, String> asked = new HashMap<>(own.askedUpstreams());
    Set<String> kept = new HashSet<>(own.ownedDomains());
    int processes = own.processes();
    for (ReceivedHeartbeat other : others) {
      long heldMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - other.receivedNanos());
      other.heartbeat().loads().forEach(load -> add(loads, load, heldMs));
      suspected.addAll(other.heartbeat().suspectedUpstreams());
      asked.putAll(other.heartbeat().askedUpstreams());
      kept.addAll(other.heartbeat().ownedDomains());
      processes += other.heartbeat().processes();
    }
    Set<String> silent = new HashSet<>(own.silentUpstreams());
    witnesses.forEach(witness -> silent.retainAll(witness.heartbeat().silentUpstreams()));
    return new Heartbeat(
        own.sender(),
        own.sentNanos(),
        0,
        scope,
        processes,
        own.configNext(),
        own.configVersion(),
        own.configAgeNanos(),
        new ArrayList<>(loads.values()),
        suspected,
        // Members are not asked: the hubs of all zones are witnesses enough.
        scope == Scope.REST ? Map.of() : asked,
        silent,
        kept,
        reports,
        listUpdate,
        own.crashReports(),
        own.limitReports());
  }

  /**
   * Returns the heartbeat of a hub to one of its members: the total without the member's own part.
   *
   * <p>Subtracting one member visits the loads of one process. A separate sum per member would
   * visit the loads of all processes for each of them.
   *
   * @param total the digest of all processes including the member, not null
   * @param member the member's latest heartbeat, which is part of the total, not null
   * @param listUpdate the changes of the list for the member, not null
   */
  static Heartbeat without(Heartbeat total, Heartbeat member, ListUpdate listUpdate) {
    Map<String, Load> ownLoads = new HashMap<>();
    member.loads().forEach(load -> ownLoads.put(load.upstream(), load));
    List<Load> loads = new ArrayList<>(total.loads().size());
    for (Load load : total.loads()) {
      Load own = ownLoads.get(load.upstream());
      Load rest = own == null ? load : subtract(load, own);
      if (rest.open() > 0) {
        loads.add(rest);
      }
    }
    Set<String> kept = new HashSet<>(total.ownedDomains());
    kept.removeAll(member.ownedDomains());
    return new Heartbeat(
        total.sender(),
        total.sentNanos(),
        0,
        total.scope(),
        total.processes() - member.processes(),
        total.configNext(),
        total.configVersion(),
        total.configAgeNanos(),
        loads,
        total.suspectedUpstreams(),
        total.askedUpstreams(),
        total.silentUpstreams(),
        kept,
        total.reports(),
        listUpdate,
        total.crashReports(),
        total.limitReports());
  }

  private static Load subtract(Load load, Load own) {
    return new Load(
        load.upstream(),
        load.open() - own.open(),
        load.waitingPromptTokens() - own.waitingPromptTokens(),
        load.progressAgeMs());
  }

  private static void add(Map<String, Load> loads, Load load, long heldMs) {
    int ageMs = (int) Math.min(Integer.MAX_VALUE, load.progressAgeMs() + heldMs);
    loads.merge(
        load.upstream(),
        new Load(load.upstream(), load.open(), load.waitingPromptTokens(), ageMs),
        (one, other) ->
            new Load(
                one.upstream(),
                one.open() + other.open(),
                one.waitingPromptTokens() + other.waitingPromptTokens(),
                Math.min(one.progressAgeMs(), other.progressAgeMs())));
  }

  /**
   * A heartbeat and when it came.
   *
   * @param heartbeat the heartbeat
   * @param receivedNanos when it came, on the receiver's steady clock
   */
  record ReceivedHeartbeat(Heartbeat heartbeat, long receivedNanos) {}
}
