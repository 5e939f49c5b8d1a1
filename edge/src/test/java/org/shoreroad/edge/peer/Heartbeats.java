package org.shoreroad.edge.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shoreroad.edge.peer.Heartbeat.Load;
import org.shoreroad.edge.peer.Heartbeat.Scope;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.limit.LimitReport;

/** Factory of heartbeats for tests, which are empty but for the given parts. */
public record Heartbeats(Heartbeat bare) {
  /** Returns a factory for heartbeats of the sender. */
  public static Heartbeats of(String sender) {
    return new Heartbeats(
        new Heartbeat(
            sender,
            0,
            0,
            Scope.SELF,
            1,
            StorePosition.of(1, 0),
            Heartbeat.NO_CONFIG,
            0,
            List.of(),
            Set.of(),
            Map.of(),
            Set.of(),
            Set.of(),
            List.of(),
            ListUpdate.NONE,
            List.of(),
            List.of(),
            HeartbeatAdditions.NONE));
  }

  /** Returns the heartbeat with loads. */
  public Heartbeat withLoads(List<Load> loads) {
    return make(0, 0, 0, loads, Map.of(), Set.of(), List.of(), ListUpdate.NONE);
  }

  /** Returns the heartbeat with questions and silent boxes. */
  public Heartbeat withQuestions(Map<String, String> asked, Set<String> silent) {
    return make(0, 0, 0, List.of(), asked, silent, List.of(), ListUpdate.NONE);
  }

  /** Returns the heartbeat with a proof of the configuration. */
  public Heartbeat withConfig(long echoNanos, long offset, long ageNanos) {
    return make(
        echoNanos, offset, ageNanos, List.of(), Map.of(), Set.of(), List.of(), ListUpdate.NONE);
  }

  /** Returns the heartbeat with the version of the configuration in force at the sender. */
  public Heartbeat withVersion(long version) {
    return with(version, bare.limitReports());
  }

  /** Returns the heartbeat with limits of upstreams. */
  public Heartbeat withLimits(List<LimitReport> limits) {
    return with(bare.configVersion(), limits);
  }

  /** Returns the heartbeat with loads and additions, sent at a time. */
  public Heartbeat withRoom(long sentNanos, List<Load> loads, HeartbeatAdditions additions) {
    return new Heartbeat(
        bare.sender(),
        sentNanos,
        0,
        bare.scope(),
        bare.processes(),
        bare.configNext(),
        bare.configVersion(),
        bare.configAgeNanos(),
        loads,
        Set.of(),
        Map.of(),
        Set.of(),
        Set.of(),
        List.of(),
        ListUpdate.NONE,
        List.of(),
        List.of(),
        additions);
  }

  /** Returns the heartbeat with additions. */
  public Heartbeat withAdditions(HeartbeatAdditions additions) {
    return with(bare.configVersion(), bare.limitReports(), additions);
  }

  private Heartbeat with(long version, List<LimitReport> limits) {
    return with(version, limits, bare.additions());
  }

  private Heartbeat with(long version, List<LimitReport> limits, HeartbeatAdditions additions) {
    return new Heartbeat(
        bare.sender(),
        0,
        0,
        bare.scope(),
        bare.processes(),
        bare.configNext(),
        version,
        bare.configAgeNanos(),
        bare.loads(),
        bare.suspectedUpstreams(),
        bare.askedUpstreams(),
        bare.silentUpstreams(),
        bare.ownedDomains(),
        bare.reports(),
        bare.listUpdate(),
        bare.crashReports(),
        limits,
        additions);
  }

  /** Returns the heartbeat with changes of the upstream list. */
  public Heartbeat withListUpdate(ListUpdate update) {
    return make(0, 0, 0, List.of(), Map.of(), Set.of(), List.of(), update);
  }

  /** Returns the heartbeat with reports of engines. */
  public Heartbeat withReports(List<FleetBox> reports) {
    return make(0, 0, 0, List.of(), Map.of(), Set.of(), reports, ListUpdate.NONE);
  }

  private Heartbeat make(
      long echoNanos,
      long offset,
      long ageNanos,
      List<Load> loads,
      Map<String, String> asked,
      Set<String> silent,
      List<FleetBox> reports,
      ListUpdate update) {
    return new Heartbeat(
        bare.sender(),
        0,
        echoNanos,
        bare.scope(),
        bare.processes(),
        StorePosition.of(1, offset),
        Heartbeat.NO_CONFIG,
        ageNanos,
        loads,
        bare.suspectedUpstreams(),
        asked,
        silent,
        bare.ownedDomains(),
        reports,
        update,
        List.of(),
        List.of(),
        bare.additions());
  }
}
