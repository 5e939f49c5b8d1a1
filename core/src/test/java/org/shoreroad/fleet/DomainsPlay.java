package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import org.shoreroad.demand.DemandEstimator;
import org.shoreroad.demand.FormingReplicas;
import org.shoreroad.demand.ModelLoad;

/**
 * Play of six domains of 27 boxes that serve two models, with a demand that changes over time.
 *
 * <p>A request occupies a slot for a second. A model with fewer slots than requests refuses the
 * rest, and each refused caller comes again once.
 */
final class DomainsPlay {
  static final String LARGE = "large";
  static final String SMALL = "small";
  static final int DOMAINS = 6;
  private static final int BOXES = 27;
  private static final int SETTLE_STEPS = 500;

  private final EngineSpec spec;
  private final Map<String, FakeDomain> domains = new TreeMap<>();
  private final Map<String, DomainReconciler> reconcilers = new HashMap<>();
  private final Set<ReplicaId> headsSeen = new HashSet<>();
  private final DemandEstimator estimator = new DemandEstimator();
  private final FormingReplicas forming = new FormingReplicas();
  private final boolean isRefusalCounted;
  private final Map<String, Double> servedSeconds = new HashMap<>();
  private final List<Conversion> conversions = new ArrayList<>();
  private long steps;
  private double seconds;
  private long epoch;

  private DomainsPlay(boolean isRefusalCounted, long seed, double storeFactor) {
    this.isRefusalCounted = isRefusalCounted;
    this.spec =
        FakeDomain.spec(
            new ModelShape(LARGE, 12, 0.5, 1, 16 * storeFactor, 1.6),
            new ModelShape(SMALL, 6, 0.5, 0.6, 12 * storeFactor, 1.1));
    Random random = new Random(seed);
    for (int i = 0; i < DOMAINS; i++) {
      String name = "d" + i;
      FakeDomain domain = new FakeDomain(spec, random, name);
      for (int box = 0; box < BOXES; box++) {
        domain.addBox();
      }
      domains.put(name, domain);
      reconcilers.put(name, new DomainReconciler(name, ReconcilerTiming.DEFAULT, () -> ++epoch));
    }
    while (count(LARGE) < DOMAINS || count(SMALL) < 2 * DOMAINS) {
      step(Demand.NONE);
    }
  }

  /**
   * Returns domains in which all replicas are open, and whose boxes in small replicas have the
   * weights of the large model on their hosts.
   *
   * @param isRefusalCounted false to decide by the open requests only
   */
  static DomainsPlay prepared(boolean isRefusalCounted, long seed) {
    DomainsPlay play = new DomainsPlay(isRefusalCounted, seed, 1);
    for (FakeDomain domain : play.domains.values()) {
      for (ObservedBox observed : domain.observedBoxes()) {
        if (!LARGE.equals(observed.lastModel())) {
          domain.putOnHost(observed.box().id(), LARGE);
        }
      }
    }
    // The spare boxes change to the last model that most boxes have.
    for (int i = 0; i < SETTLE_STEPS; i++) {
      play.step(Demand.NONE);
    }
    return play;
  }

  /**
   * Returns domains in which all replicas are open, with a slow store and no weights in advance.
   */
  static DomainsPlay unprepared(long seed) {
    return new DomainsPlay(true, seed, 10);
  }

  FakeDomain domain(int index) {
    return domains.get("d" + index);
  }

  int count(String model) {
    return (int) domains.values().stream().mapToLong(domain -> domain.countOpen(model)).sum();
  }

  /** Returns the conversions so far. */
  List<Conversion> conversions() {
    return conversions;
  }

  /** Returns the violations of the rules of the fabric, over all domains. */
  List<String> violations() {
    return domains.values().stream().flatMap(domain -> domain.violations().stream()).toList();
  }

  /** Returns the share of the requests that were served, of the model where it is lower. */
  double lowestShare() {
    return servedSeconds.values().stream().mapToDouble(served -> served / seconds).min().orElse(0);
  }

  /** Leaves the time until now out of the shares. */
  void resetShares() {
    servedSeconds.clear();
    seconds = 0;
  }

  /**
   * Plays on.
   *
   * @param large the replicas that the large model needs, by the seconds since this call
   * @param small the same for the small model
   */
  void run(double forSeconds, DoubleUnaryOperator large, DoubleUnaryOperator small) {
    long count = Math.round(forSeconds * 1e9 / FakeDomain.STEP_NANOS);
    for (long i = 0; i < count; i++) {
      double second = i * FakeDomain.STEP_NANOS / 1e9;
      Map<String, ModelLoad> loads = new HashMap<>();
      loads.put(LARGE, serve(LARGE, large.applyAsDouble(second)));
      loads.put(SMALL, serve(SMALL, small.applyAsDouble(second)));
      seconds += FakeDomain.STEP_NANOS / 1e9;
      step(estimator.update(spec, loads, domain(0).nowNanos()));
    }
  }

  private ModelLoad serve(String model, double neededReplicas) {
    int replicas = count(model);
    double callers = neededReplicas * spec.slots();
    double served = Math.min(callers, (double) replicas * spec.slots());
    servedSeconds.merge(model, served / callers * FakeDomain.STEP_NANOS / 1e9, Double::sum);
    double refusedShare = isRefusalCounted ? Math.sqrt(1 - served / callers) : 0;
    double tries = callers * (1 + refusedShare);
    return new ModelLoad(
        replicas,
        countForming(model),
        replicas,
        (int) Math.round(served),
        (int) Math.round(tries),
        (int) Math.round(tries * refusedShare),
        0,
        0);
  }

  /** Counts as edge processes do, so heads of closed replicas are not counted for long. */
  private int countForming(String model) {
    List<FleetBox> heads = new ArrayList<>();
    for (FakeDomain domain : domains.values()) {
      domain.observedBoxes().stream()
          .map(ObservedBox::box)
          .filter(box -> box.isHead() && !box.isLeaving())
          .forEach(heads::add);
    }
    long nowNanos = domain(0).nowNanos();
    forming.update(heads, nowNanos);
    return forming.count(model, nowNanos);
  }

  private void step(Demand demand) {
    domains.values().forEach(FakeDomain::step);
    if (steps++ % 2 == 0) {
      domains.forEach((name, domain) -> reconcile(name, domain, demand));
    }
  }

  private void reconcile(String name, FakeDomain domain, Demand demand) {
    List<ObservedBox> observedBoxes = domain.observedBoxes();
    Map<String, Integer> sizes = new HashMap<>();
    domains.keySet().forEach(other -> sizes.put(other, BOXES));
    for (ObservedBox observed : observedBoxes) {
      if (observed.box().isHead()) {
        headsSeen.add(observed.box().membership().replica());
      }
    }
    observedBoxes.removeIf(ObservedBox::isDead);
    DomainReconciler reconciler = reconcilers.get(name);
    ReplicaPlan plan = ReplicaPlan.of(spec, sizes);
    for (BoxOrder order :
        reconciler.decide(domain.nowNanos(), spec, observedBoxes, plan, headsSeen, demand)) {
      if (domain.give(order)) {
        reconciler.recordAccepted(order, domain.nowNanos());
      }
    }
    Conversion conversion = reconciler.takeConversion();
    if (conversion != null) {
      conversions.add(conversion);
    }
  }
}
