package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Choice of the replicas of a domain that are closed so that their boxes, together with the
 * available ones, reduce the highest pressure of any model.
 *
 * <p>The callers of a closed replica must move to another one, and its boxes serve no requests for
 * 2 to 3 s. So replicas are closed only in two cases. Either boxes have just become available,
 * mostly after a loss, and must be used anyway. Or a model has no replica, or stays under high
 * pressure while another has free slots: it would refuse requests for as long as the load lasts.
 * Not thread-safe: used by one thread.
 */
final class ReplicaConversion {
  /**
   * Minimum reduction of the highest pressure that justifies closing a replica when boxes have
   * become available.
   */
  private static final double MIN_GAIN_WITH_AVAILABLE = 0.05;

  /** Without newly available boxes, replicas are closed only for a pressure of at least this. */
  private static final double HIGH_PRESSURE = 0.8;

  /**
   * Minimum reduction of the highest pressure that justifies closing a replica without newly
   * available boxes.
   */
  private static final double MIN_GAIN = 0.2;

  /**
   * Number of one-second turns. All domains observe the same pressure, so each acts on it only in
   * its own turn.
   */
  private static final int TURNS = 8;

  private static final long TURN_NANOS = 1_000_000_000L;

  /**
   * Minimum time between two conversions. Closing, joining and opening take 2 to 3 s, and the load
   * needs the same time to adapt.
   */
  private static final long INTERVAL_NANOS = 6_000_000_000L;

  private final String domain;
  private @Nullable Set<String> previouslyAvailableIds;
  private long convertedNanos = Long.MIN_VALUE / 2;

  /** Creates a conversion for the domain that has closed no replica yet. */
  ReplicaConversion(String domain) {
    this.domain = domain;
  }

  /**
   * Returns the replicas to close: none, one or two.
   *
   * @param view the domain, not null
   * @param packing the packing of the domain, not null
   * @param wanted the number of replicas of each model that are retained or will be formed if none
   *     is closed, not null
   * @param closable the open replicas, not null
   * @param nowNanos the time on the steady clock, in nanoseconds
   */
  List<ObservedReplica> choose(
      DomainView view,
      DomainPacking packing,
      Map<String, Integer> wanted,
      List<ObservedReplica> closable,
      long nowNanos) {
    boolean isTooSoon = nowNanos - convertedNanos < INTERVAL_NANOS;
    double pressureBefore = packing.highestPressure(wanted, Map.of());
    boolean isUnserved = pressureBefore >= Demand.NO_REPLICA_PRESSURE;
    boolean hasNewlyAvailable = updateAvailable(view);
    boolean isOwnTurn = (nowNanos / TURN_NANOS + domain.hashCode()) % TURNS == 0;
    boolean isUnderPressure = pressureBefore >= HIGH_PRESSURE && isOwnTurn;
    if (isTooSoon || !(hasNewlyAvailable || isUnserved || isUnderPressure)) {
      return List.of();
    }
    List<ObservedReplica> best = List.of();
    double lowestPressure =
        pressureBefore - (hasNewlyAvailable ? MIN_GAIN_WITH_AVAILABLE : MIN_GAIN);
    for (List<ObservedReplica> closed : oneOrTwoOf(closable)) {
      double pressureAfter = pressureWithout(closed, view, packing);
      if (pressureAfter < lowestPressure) {
        best = closed;
        lowestPressure = pressureAfter;
      }
    }
    if (!best.isEmpty()) {
      convertedNanos = nowNanos;
    }
    return best;
  }

  /** Returns true if boxes have become available since the last call. */
  private boolean updateAvailable(DomainView view) {
    Set<String> availableIds = new HashSet<>();
    view.available().forEach(observed -> availableIds.add(observed.box().id()));
    // The boxes found by the first call may have been available for a long time.
    boolean hasNewlyAvailable =
        previouslyAvailableIds != null && !previouslyAvailableIds.containsAll(availableIds);
    previouslyAvailableIds = availableIds;
    return hasNewlyAvailable;
  }

  private static List<List<ObservedReplica>> oneOrTwoOf(List<ObservedReplica> replicas) {
    List<List<ObservedReplica>> choices = new ArrayList<>();
    for (int i = 0; i < replicas.size(); i++) {
      choices.add(List.of(replicas.get(i)));
      for (int j = i + 1; j < replicas.size(); j++) {
        choices.add(List.of(replicas.get(i), replicas.get(j)));
      }
    }
    return choices;
  }

  /** Returns the highest pressure with the best packing of the available and the closed boxes. */
  private static double pressureWithout(
      List<ObservedReplica> closed, DomainView view, DomainPacking packing) {
    Map<String, Integer> remaining = new HashMap<>(view.retained());
    List<ObservedBox> boxes = view.available();
    for (ObservedReplica replica : closed) {
      remaining.merge(String.valueOf(replica.model()), -1, Integer::sum);
      boxes.addAll(replica.members());
    }
    return packing.highestPressure(remaining, packing.fill(boxes, remaining));
  }
}
