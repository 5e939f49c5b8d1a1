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
 * Combines heartbeats into one: the sum of the loads, and the union of suspicions, questions and
 * owned domains.
 *
 * <p>All methods are pure and thread-safe.
 */
final class Digest {
  private Digest() {}

  /**
   * Returns the heartbeat of a hub for itself and other processes.
   *
   * @param own the heartbeat of the hub for itself, not null
   * @param scope the scope of the combined heartbeat, not null
   * @param others the latest heartbeats of the others, not null
   * @param witnesses the latest heartbeats of the other hubs, which also try silent boxes, not
   *     null; a box that answers any of them is not silent
   * @param reports the newest status reports of engines, not null
   * @param listUpdate the changes of the upstream list for the receiver, not null
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
    Set<String> owned = new HashSet<>(own.ownedDomains());
    int processes = own.processes();
    for (ReceivedHeartbeat other : others) {
      long elapsedMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - other.receivedNanos());
      other.heartbeat().loads().forEach(load -> add(loads, load, elapsedMs));
      suspected.addAll(other.heartbeat().suspectedUpstreams());
      asked.putAll(other.heartbeat().askedUpstreams());
      owned.addAll(other.heartbeat().ownedDomains());
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
        // Members are not asked, since the hubs of all zones suffice as witnesses.
        scope == Scope.REST ? Map.of() : asked,
        silent,
        owned,
        reports,
        listUpdate,
        own.crashReports(),
        own.limitReports(),
        AdditionsDigest.merge(own.additions(), others, nowNanos));
  }

  /**
   * Returns the heartbeat of a hub to one of its members: the total without the member's own state.
   *
   * <p>Subtracting one member visits the loads of one process. A separate sum per member would
   * visit the loads of all processes for each of them.
   *
   * @param total the digest of all processes including the member, not null
   * @param member the member's latest heartbeat, which is part of the total, not null
   * @param listUpdate the changes of the upstream list for the member, not null
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
    Set<String> owned = new HashSet<>(total.ownedDomains());
    owned.removeAll(member.ownedDomains());
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
        owned,
        total.reports(),
        listUpdate,
        total.crashReports(),
        total.limitReports(),
        AdditionsDigest.without(total.additions(), member.additions()));
  }

  private static Load subtract(Load load, Load own) {
    return new Load(
        load.upstream(),
        load.open() - own.open(),
        load.waitingPromptTokens() - own.waitingPromptTokens(),
        load.progressAgeMs());
  }

  private static void add(Map<String, Load> loads, Load load, long elapsedMs) {
    int ageMs = (int) Math.min(Integer.MAX_VALUE, load.progressAgeMs() + elapsedMs);
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

  /** Returns the latest heartbeat of each of the peers, which must have sent one. */
  static List<ReceivedHeartbeat> latestOf(Collection<Peer> peers) {
    return peers.stream()
        .map(peer -> new ReceivedHeartbeat(peer.lastHeartbeat(), peer.lastReceivedNanos()))
        .toList();
  }

  /**
   * A heartbeat and its time of arrival.
   *
   * @param heartbeat the heartbeat
   * @param receivedNanos the time of arrival on the steady clock of the receiver
   */
  record ReceivedHeartbeat(Heartbeat heartbeat, long receivedNanos) {}
}
