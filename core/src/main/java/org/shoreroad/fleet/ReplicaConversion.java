package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.Comparator;
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
 *
 * <p>While requests are refused or late, a conversion must gain more than it costs, see {@link
 * ConversionGain}, and more domains act at once the larger the imbalance is. Not thread-safe: used
 * by one thread.
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

  /**
   * Minimum gain while requests are refused or late, in replica-seconds. An added replica gains it
   * if it is needed for two to three seconds more than the conversion takes.
   */
  private static final double MIN_GAIN_SECONDS = 2.5;

  /** The same in a domain that has just lost a replica, whose boxes change it anyway. */
  private static final double MIN_GAIN_SECONDS_AFTER_LOSS = 1;

  /** Cost of each closed replica that decides between conversions of almost equal gain. */
  private static final double GAIN_SECONDS_PER_CLOSED = 0.1;

  /** Time for which a conversion must gain before it begins, since counts vary by chance. */
  private static final long MIN_LASTED_NANOS = 500_000_000L;

  /** The same for a domain that is not among the first: these have converted and opened by then. */
  private static final long LASTED_WITHOUT_FIRST_NANOS = 4_000_000_000L;

  /**
   * The same while a model has no replica. If one of the first domains had closed replicas, its new
   * one would be seen to form by then.
   */
  private static final long UNSERVED_WITHOUT_FIRST_NANOS = 2_000_000_000L;

  /** Length of a turn while a model has no replica. */
  private static final long UNSERVED_TURN_NANOS = 250_000_000L;

  private static final long NEVER = Long.MIN_VALUE;

  /** Higher than any position, and small enough to count up to it. */
  private static final int UNKNOWN_RANK = 1_000;

  private final String domain;
  private @Nullable Set<String> previouslyAvailableIds;
  private long convertedNanos = Long.MIN_VALUE / 2;
  private long gainSinceNanos = NEVER;
  private int rank = UNKNOWN_RANK;
  private @Nullable Conversion unreported;

  /** Creates a conversion for the domain that has closed no replica yet. */
  ReplicaConversion(String domain) {
    this.domain = domain;
  }

  /**
   * Sets the position of the domain among all domains. While requests are refused or late, the
   * domains with the lowest positions act at once, as many as gain by it.
   *
   * @param newRank the position, or a negative number if it is not known
   */
  void setRank(int newRank) {
    rank = newRank < 0 ? UNKNOWN_RANK : newRank;
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
    int newlyAvailable = updateAvailable(view);
    if (nowNanos - convertedNanos < INTERVAL_NANOS) {
      return List.of();
    }
    boolean isOwnTurn = isOwnTurn(nowNanos, TURN_NANOS);
    List<ObservedReplica> sparableFirst = new ArrayList<>(closable);
    sparableFirst.sort(
        Comparator.comparingDouble(replica -> packing.pressure(replica.model(), wanted)));
    List<ObservedReplica> best =
        packing.strain() == null
            ? chooseByPressure(view, packing, wanted, sparableFirst, newlyAvailable > 0, isOwnTurn)
            : chooseByGain(view, packing, wanted, sparableFirst, newlyAvailable, nowNanos);
    if (!best.isEmpty()) {
      convertedNanos = nowNanos;
      unreported =
          new Conversion(
              best.stream().map(replica -> replica.replica().toString()).toList(),
              packing.highestPressure(wanted, Map.of()),
              packing.highestPressure(FreedBoxes.of(best, view).countsAfter(packing), Map.of()),
              packing.strain() != null);
    }
    return best;
  }

  private boolean isOwnTurn(long nowNanos, long turnNanos) {
    return (nowNanos / turnNanos + domain.hashCode()) % TURNS == 0;
  }

  private static List<ObservedReplica> chooseByPressure(
      DomainView view,
      DomainPacking packing,
      Map<String, Integer> wanted,
      List<ObservedReplica> closable,
      boolean hasNewlyAvailable,
      boolean isOwnTurn) {
    double pressureBefore = packing.highestPressure(wanted, Map.of());
    boolean isUnserved = pressureBefore >= Demand.NO_REPLICA_PRESSURE;
    boolean isUnderPressure = pressureBefore >= HIGH_PRESSURE && isOwnTurn;
    if (!(hasNewlyAvailable || isUnserved || isUnderPressure)) {
      return List.of();
    }
    List<ObservedReplica> best = List.of();
    double lowestPressure =
        pressureBefore - (hasNewlyAvailable ? MIN_GAIN_WITH_AVAILABLE : MIN_GAIN);
    for (List<ObservedReplica> closed : ReplicaChoices.oneOrTwoOf(closable, packing.models())) {
      double pressureAfter = FreedBoxes.of(closed, view).search(packing).lowestHighest();
      if (pressureAfter < lowestPressure) {
        best = closed;
        lowestPressure = pressureAfter;
      }
    }
    return best;
  }

  /**
   * Returns the replicas to close while requests are refused or late. A domain acts if it is among
   * as many first ones as can gain by the same conversion, if it has just lost a replica, or in its
   * own turn if the gain remains when the first ones have had time: they may lack boxes or weights.
   */
  private List<ObservedReplica> chooseByGain(
      DomainView view,
      DomainPacking packing,
      Map<String, Integer> wanted,
      List<ObservedReplica> closable,
      int newlyAvailable,
      long nowNanos) {
    double pressure = packing.highestPressure(wanted, Map.of());
    String model = packing.highestPressureModel(wanted, Map.of());
    Demand.Strain strain = packing.strain();
    if (model == null || strain == null || pressure < HIGH_PRESSURE) {
      gainSinceNanos = NEVER;
      return List.of();
    }
    // A single box has mostly ended its warm-up.
    boolean isAfterLoss = newlyAvailable > 1 && view.hasLoss();
    double minGain = isAfterLoss ? MIN_GAIN_SECONDS_AFTER_LOSS : MIN_GAIN_SECONDS;
    double lastingSeconds = ConversionGain.lastingSeconds(pressure, strain.risePerSecond(model));
    List<ObservedReplica> best = List.of();
    double highestGain = minGain;
    List<ObservedReplica> whole = closable.stream().filter(ReplicaConversion::isWhole).toList();
    for (List<ObservedReplica> closed : ReplicaChoices.oneOrTwoOf(whole, packing.models())) {
      double cost = GAIN_SECONDS_PER_CLOSED * closed.size();
      Map<String, Integer> counts = counts(closed);
      FreedBoxes freed = FreedBoxes.of(closed, view);
      // The best replicas for the peaks bound the gain and are found with less work.
      double lowestAtPeak = freed.search(packing.atPeakOf(counts.keySet())).lowestHighest();
      double gainAtMost =
          ConversionGain.of(packing, wanted, counts, lowestAtPeak, lastingSeconds) - cost;
      if (gainAtMost > highestGain) {
        Map<String, Integer> after = freed.countsAfter(packing);
        double gain = ConversionGain.of(packing, wanted, counts, after, lastingSeconds) - cost;
        if (gain > highestGain) {
          best = closed;
          highestGain = gain;
        }
      }
    }
    if (best.isEmpty() || isAfterLoss) {
      gainSinceNanos = NEVER;
      return best;
    }
    gainSinceNanos = gainSinceNanos == NEVER ? nowNanos : gainSinceNanos;
    long lastedNanos = nowNanos - gainSinceNanos;
    if (lastedNanos < MIN_LASTED_NANOS) {
      return List.of();
    }
    if (isTurnWithoutFirst(pressure >= Demand.NO_REPLICA_PRESSURE, lastedNanos, nowNanos)) {
      return best;
    }
    Map<String, Integer> after = FreedBoxes.of(best, view).countsAfter(packing);
    int useful =
        ConversionGain.usefulCount(
            packing, wanted, counts(best), after, lastingSeconds, minGain, rank + 1);
    return rank < useful ? best : List.of();
  }

  private boolean isTurnWithoutFirst(boolean isUnserved, long lastedNanos, long nowNanos) {
    return isUnserved
        ? lastedNanos > UNSERVED_WITHOUT_FIRST_NANOS && isOwnTurn(nowNanos, UNSERVED_TURN_NANOS)
        : lastedNanos > LASTED_WITHOUT_FIRST_NANOS && isOwnTurn(nowNanos, TURN_NANOS);
  }

  /** Returns true if the replica is not about to be dissolved anyway. */
  private static boolean isWhole(ObservedReplica replica) {
    return !replica.hasLeavingMember() && replica.members().stream().noneMatch(ObservedBox::isLost);
  }

  /** Returns the conversion since the last call, or null if there was none. */
  @Nullable Conversion takeUnreported() {
    Conversion taken = unreported;
    unreported = null;
    return taken;
  }

  /** Returns the number of boxes that have become available since the last call. */
  private int updateAvailable(DomainView view) {
    Set<String> availableIds = new HashSet<>();
    view.available().forEach(observed -> availableIds.add(observed.box().id()));
    Set<String> newIds = new HashSet<>(availableIds);
    // The boxes found by the first call may have been available for a long time.
    newIds.removeAll(previouslyAvailableIds == null ? availableIds : previouslyAvailableIds);
    previouslyAvailableIds = availableIds;
    return newIds.size();
  }

  private static Map<String, Integer> counts(List<ObservedReplica> replicas) {
    Map<String, Integer> counts = new HashMap<>();
    replicas.forEach(replica -> counts.merge(String.valueOf(replica.model()), 1, Integer::sum));
    return counts;
  }

  /**
   * Boxes that are available once replicas are closed.
   *
   * @param boxes the boxes
   * @param retained the replicas of each model that are left
   */
  private record FreedBoxes(List<ObservedBox> boxes, Map<String, Integer> retained) {
    static FreedBoxes of(List<ObservedReplica> closed, DomainView view) {
      Map<String, Integer> retained = new HashMap<>(view.retained());
      List<ObservedBox> boxes = view.available();
      for (ObservedReplica replica : closed) {
        retained.merge(String.valueOf(replica.model()), -1, Integer::sum);
        boxes.addAll(replica.members());
      }
      return new FreedBoxes(boxes, retained);
    }

    PressureSearch search(DomainPacking packing) {
      return packing.search(boxes, retained);
    }

    /** Returns the replicas of each model with the best packing of the boxes. */
    Map<String, Integer> countsAfter(DomainPacking packing) {
      Map<String, Integer> counts = new HashMap<>(retained);
      packing
          .fill(boxes, retained)
          .forEach((model, more) -> counts.merge(model, more, Integer::sum));
      return counts;
    }
  }
}
