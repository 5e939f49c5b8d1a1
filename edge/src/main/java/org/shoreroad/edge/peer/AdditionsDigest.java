package org.shoreroad.edge.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.shoreroad.edge.peer.Digest.ReceivedHeartbeat;
import org.shoreroad.edge.peer.HeartbeatAdditions.ColdReport;
import org.shoreroad.edge.peer.HeartbeatAdditions.Evacuation;
import org.shoreroad.edge.peer.HeartbeatAdditions.RoomOwner;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.fleet.ModelTraffic;

/**
 * Combines the additions of several heartbeats: sums of granted requests and of traffic, the union
 * of the owners, the longest remaining time of each cold upstream and the newest record of each
 * evacuation.
 *
 * <p>All methods are pure and thread-safe.
 */
final class AdditionsDigest {
  private AdditionsDigest() {}

  /** Returns the additions of a process and others, with the times passed since their arrival. */
  static HeartbeatAdditions merge(
      HeartbeatAdditions own, Collection<ReceivedHeartbeat> others, long nowNanos) {
    Map<String, Integer> granted = new HashMap<>(own.grantedOpen());
    Map<String, RoomOwner> owners = new HashMap<>(own.roomOwners());
    Map<String, ModelTraffic> traffic = new HashMap<>();
    Map<Incarnation, ColdReport> cold = new HashMap<>();
    Map<String, Evacuation> evacuations = new HashMap<>();
    own.traffic().forEach(one -> traffic.merge(keyOf(one), one, ModelTraffic::plus));
    own.coldReports().forEach(one -> cold.merge(one.upstream(), one, AdditionsDigest::longer));
    own.evacuations().forEach(one -> evacuations.merge(one.zone(), one, AdditionsDigest::newer));
    for (ReceivedHeartbeat received : others) {
      HeartbeatAdditions other = received.heartbeat().additions();
      other.grantedOpen().forEach((head, count) -> granted.merge(head, count, Integer::sum));
      owners.putAll(other.roomOwners());
      other.traffic().forEach(one -> traffic.merge(keyOf(one), one, ModelTraffic::plus));
      long elapsedMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - received.receivedNanos());
      for (ColdReport one : other.coldReports()) {
        int remainingMs = (int) Math.max(0, one.remainingMs() - elapsedMs);
        ColdReport later = new ColdReport(one.upstream(), remainingMs);
        cold.merge(one.upstream(), later, AdditionsDigest::longer);
      }
      other
          .evacuations()
          .forEach(one -> evacuations.merge(one.zone(), one, AdditionsDigest::newer));
    }
    cold.values().removeIf(one -> one.remainingMs() == 0);
    return new HeartbeatAdditions(
        granted,
        owners,
        List.copyOf(traffic.values()),
        List.copyOf(cold.values()),
        List.copyOf(evacuations.values()),
        own.partReports());
  }

  /** Returns the additions of all processes without the sums of one member. */
  static HeartbeatAdditions without(HeartbeatAdditions total, HeartbeatAdditions member) {
    Map<String, Integer> granted = new HashMap<>(total.grantedOpen());
    member.grantedOpen().forEach((head, count) -> granted.merge(head, -count, Integer::sum));
    granted.values().removeIf(count -> count <= 0);
    Map<String, ModelTraffic> own = new HashMap<>();
    member.traffic().forEach(one -> own.put(keyOf(one), one));
    List<ModelTraffic> traffic = new ArrayList<>();
    total.traffic().forEach(one -> traffic.add(subtract(one, own.get(keyOf(one)))));
    return new HeartbeatAdditions(
        granted,
        total.roomOwners(),
        traffic,
        total.coldReports(),
        total.evacuations(),
        total.partReports());
  }

  private static ModelTraffic subtract(ModelTraffic total, ModelTraffic own) {
    return own == null
        ? total
        : new ModelTraffic(
            total.service(),
            total.model(),
            total.zone(),
            Math.max(0, total.arrived() - own.arrived()),
            Math.max(0, total.refused() - own.refused()),
            Math.max(0, total.late() - own.late()),
            Math.max(0, total.promptTokens() - own.promptTokens()));
  }

  private static String keyOf(ModelTraffic traffic) {
    return traffic.service() + "/" + traffic.model() + "/" + traffic.zone();
  }

  private static ColdReport longer(ColdReport one, ColdReport other) {
    return one.remainingMs() >= other.remainingMs() ? one : other;
  }

  private static Evacuation newer(Evacuation one, Evacuation other) {
    return other.position().isCertainlyAfter(one.position()) ? other : one;
  }
}
