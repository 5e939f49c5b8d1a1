package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Which standing replicas of a domain are closed so that their boxes, together with what is free,
 * relieve the most pressed model.
 *
 * <p>That costs the callers of a closed replica a move, and its boxes serve nobody for two to three
 * seconds. So it is done only when boxes have just come free, most often after a loss, and must be
 * put to use anyway, or when a model has no replica left or stays under high pressure beside
 * another that has places: such a model would refuse requests for as long as the load lasts. For
 * one thread.
 */
final class ReplicaConversion {
  /** The least that the worst pressure must fall for a replica to be closed. */
  private static final double LEAST_GAIN = 0.05;

  /** Where no boxes have come free, replicas are closed for a model that is pressed this much. */
  private static final double HIGH_PRESSURE = 0.8;

  /**
   * Minimum reduction of the highest pressure that justifies closing a replica for a pressed model.
   */
  private static final double CLEAR_GAIN = 0.2;

  /** Domains see the same pressure, so each acts on it only in a second of its own out of these. */
  private static final int TURNS = 8;

  private static final long TURN_NANOS = 1_000_000_000L;

  /** Closing, joining and opening take two to three seconds; the load needs as long to follow. */
  private static final long INTERVAL_NANOS = 6_000_000_000L;

  private final String domain;
  private @Nullable Set<String> formerlyAvailableIds;
  private long convertedNanos = Long.MIN_VALUE / 2;

  /** Creates a conversion for the domain that has closed nothing. */
  ReplicaConversion(String domain) {
    this.domain = domain;
  }

  /**
   * Returns the replicas to close, none, one or two.
   *
   * @param view the domain, not null
   * @param packing what free boxes do best, not null
   * @param wanted the replicas that stand or are to be formed without any closing, not null
   * @param givable the open replicas, not null
   * @param nowNanos the steady clock
   */
  List<ObservedReplica> choose(
      DomainView view,
      DomainPacking packing,
      Map<String, Integer> wanted,
      List<ObservedReplica> givable,
      long nowNanos) {
    boolean isTooSoon = nowNanos - convertedNanos < INTERVAL_NANOS;
    double before = packing.worstPressure(wanted, Map.of());
    boolean isUnserved = before >= Demand.NO_REPLICA_PRESSURE;
    boolean hasMore = noteAvailable(view);
    boolean isMyTurn = (nowNanos / TURN_NANOS + domain.hashCode()) % TURNS == 0;
    boolean isPressed = before >= HIGH_PRESSURE && isMyTurn;
    if (isTooSoon || !(hasMore || isUnserved || isPressed)) {
      return List.of();
    }
    List<ObservedReplica> best = List.of();
    double least = before - (hasMore ? LEAST_GAIN : CLEAR_GAIN);
    for (List<ObservedReplica> closed : oneOrTwoOf(givable)) {
      double after = pressureWithout(closed, view, packing);
      if (after < least) {
        best = closed;
        least = after;
      }
    }
    if (!best.isEmpty()) {
      convertedNanos = nowNanos;
    }
    return best;
  }

  /** Returns true if boxes have come free since the last call. */
  private boolean noteAvailable(DomainView view) {
    Set<String> availableIds = new HashSet<>();
    view.available().forEach(observed -> availableIds.add(observed.box().id()));
    // A new keeper finds idle boxes that came free long ago.
    boolean hasMore =
        formerlyAvailableIds != null && !formerlyAvailableIds.containsAll(availableIds);
    formerlyAvailableIds = availableIds;
    return hasMore;
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

  /** Returns the worst pressure if the boxes of replicas, and what is free, form what is best. */
  private static double pressureWithout(
      List<ObservedReplica> closed, DomainView view, DomainPacking packing) {
    Map<String, Integer> rest = new HashMap<>(view.retained());
    List<ObservedBox> boxes = view.available();
    for (ObservedReplica replica : closed) {
      rest.merge(String.valueOf(replica.model()), -1, Integer::sum);
      boxes.addAll(replica.members());
    }
    return packing.worstPressure(rest, packing.fill(boxes, rest));
  }
}
