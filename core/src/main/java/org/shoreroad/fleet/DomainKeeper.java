package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.BoxOrder.Verb;

/**
 * Forms the replicas of one fabric domain and mends them.
 *
 * <p>It looks at what the boxes themselves say and gives the next orders; an order whose effect
 * does not show is given again. A box passes to another replica only after the head of its former
 * one was seen neither open nor closing and has left, or is dead: so no head ever runs requests
 * while a member belongs elsewhere, and a delayed opening finds nobody it fits. Used by one thread.
 *
 * @since 0.2
 */
public final class DomainKeeper {
  /**
   * Hosts of a model's boxes are prepared for another one while this part of its places is free.
   */
  private static final double PREPARING_PRESSURE = 0.5;

  /** Why a replica beyond the plan is closed. */
  private static final String MAKES_ROOM = "a wanted replica lacks boxes";

  /** A small model is loaded first if it is at least this part as pressed as the most pressed. */
  private static final double LOADING_PRESSURE_PART = 0.5;

  /** Where no boxes have come free, replicas are closed for a model that is pressed this much. */
  private static final double CONVERTING_PRESSURE = 0.8;

  /** And only if the worst pressure then falls by this much. */
  private static final double CONVERTING_GAIN = 0.2;

  /** The least that the worst pressure must fall when boxes have come free. */
  private static final double LEAST_GAIN = 0.05;

  /** Domains see the same pressure, so each acts on it only in a second of its own out of these. */
  private static final int TURNS = 8;

  private static final long TURN_NANOS = 1_000_000_000L;

  /**
   * Closing, joining and opening take two to three seconds, and the load needs as long to follow.
   */
  private static final long CONVERTING_INTERVAL_NANOS = 6_000_000_000L;

  private final String domain;
  private final KeeperTiming timing;
  private final LongSupplier epochs;
  private final Map<ReplicaId, Formation> formations = new LinkedHashMap<>();
  private final Map<ReplicaId, Closing> closings = new HashMap<>();
  private final Map<ReplicaId, Long> headlessSinceNanos = new HashMap<>();
  private final HostStagings stagings = new HostStagings();
  private final SpareWarmings warmings;
  private final OrderBook orderBook;
  private List<BoxOrder> orders = new ArrayList<>();
  private Map<String, BoxSight> sightsById = Map.of();
  private final Set<String> boundIds = new HashSet<>();
  private final Map<String, Integer> standing = new HashMap<>();
  private Map<String, Integer> wanted = Map.of();
  private final Set<String> stuckIds = new HashSet<>();
  private boolean isMending;
  private boolean needsWords;
  private final List<BoxSight> comingFree = new ArrayList<>();
  private DomainPacking packing = DomainPacking.of(List.of(), Demand.NONE, List.of());
  private @Nullable Set<String> formerlyAvailableIds;
  private long convertedNanos = Long.MIN_VALUE / 2;
  private boolean isFresh;
  private Demand demand = Demand.NONE;
  private boolean hasLoss;

  /**
   * Creates a keeper that knows nothing yet.
   *
   * @param domain the domain's name, not null
   * @param timing its times, not null
   * @param epochs gives a number higher than any given before, by whatever process, not null
   */
  public DomainKeeper(String domain, KeeperTiming timing, LongSupplier epochs) {
    this.domain = domain;
    this.timing = timing;
    this.epochs = epochs;
    this.warmings = new SpareWarmings(domain, epochs);
    this.orderBook = new OrderBook(timing.orderRepeatNanos());
  }

  /** Returns the heads whose closing is waited for. */
  public Set<String> closingHeadIds() {
    Set<String> ids = new HashSet<>();
    for (BoxSight sight : sightsById.values()) {
      Membership membership = sight.box().membership();
      if (membership != null && membership.isHead() && closings.containsKey(membership.replica())) {
        ids.add(sight.box().id());
      }
    }
    return ids;
  }

  /** Returns the boxes that are to become members of a replica: their states are waited for. */
  public Set<String> formingIds() {
    Set<String> ids = new HashSet<>();
    formations.values().forEach(formation -> ids.addAll(formation.memberIds()));
    return ids;
  }

  /** Returns true if a formation waits until the engines themselves have said where they stand. */
  public boolean needsWords() {
    return needsWords;
  }

  /** Returns true if a formation or a closing is under way, so that the boxes are worth asking. */
  public boolean isBusy() {
    return !formations.isEmpty() || !closings.isEmpty();
  }

  /**
   * Returns the orders to give now.
   *
   * @param nowNanos the steady clock
   * @param spec the engines of the service, not null
   * @param sights the boxes of the domain, not null
   * @param plan what every domain is to hold, not null
   * @param headsSeen the replicas whose heads were seen by this process at any time
   * @param demand how pressed the models are, not null
   * @return the orders, each for a box that is fit to take one
   */
  public List<BoxOrder> decide(
      long nowNanos,
      EngineSpec spec,
      Collection<BoxSight> sights,
      ReplicaPlan plan,
      Set<ReplicaId> headsSeen,
      Demand demand) {
    this.demand = demand;
    orders = new ArrayList<>();
    boundIds.clear();
    stuckIds.clear();
    standing.clear();
    isMending = false;
    needsWords = false;
    comingFree.clear();
    hasLoss = false;
    sightsById = new HashMap<>();
    sights.forEach(sight -> sightsById.put(sight.box().id(), sight));
    Map<ReplicaId, ObservedReplica> observed = ObservedReplica.from(sights);
    closings.keySet().retainAll(observed.keySet());
    headlessSinceNanos.keySet().retainAll(observed.keySet());

    formations.values().removeIf(formation -> !advance(formation, nowNanos));
    warmings.forgetOlder(nowNanos - timing.warmingNanos());
    for (ObservedReplica replica : observed.values()) {
      if (!formations.containsKey(replica.replica())) {
        if (warmings.isUnderWay(replica)) {
          replica.members().forEach(member -> boundIds.add(member.box().id()));
        } else if (replica.head() == null) {
          keepHeadless(replica, headsSeen, nowNanos);
        } else {
          keep(replica, replica.head(), spec, nowNanos);
        }
      }
    }
    isFresh = !demand.hasTraffic() && sights.stream().allMatch(BoxSight::isBlank);
    packing = DomainPacking.of(modelsOf(spec), demand, sights);
    wanted = want(plan, modelsOf(spec));
    List<ModelShape> models = byNeed(spec);
    if (demand.hasTraffic()) {
      convert(observed.values(), nowNanos);
    } else {
      giveUpReserve(spec, observed.values(), nowNanos);
    }
    formMissing(models, nowNanos);
    formReserve(models, nowNanos);
    prepareHosts(spec, models, nowNanos);
    warmSpares(models, nowNanos);
    return orders;
  }

  /** Notes that an engine said that it carries an order out. */
  public void noteTaken(BoxOrder order, long nowNanos) {
    orderBook.noteTaken(order, nowNanos);
  }

  /**
   * Notes that an order does not fit an engine's state. A head that can't be opened though it seems
   * ready is let go, so that its boxes serve in another formation.
   */
  public void noteUnfit(BoxOrder order, long nowNanos) {
    if (order.verb() == Verb.OPEN && order.replica() != null) {
      closings.putIfAbsent(order.replica(), new Closing(nowNanos, true));
    }
  }

  /** Lets spare boxes take the weights from their hosts that they would most likely need. */
  private void warmSpares(List<ModelShape> models, long nowNanos) {
    if (formations.isEmpty() && !isMending && !needsWords) {
      List<ModelShape> byBoxes = new ArrayList<>(models);
      byBoxes.sort(
          Comparator.comparingInt(
              model -> -standing.getOrDefault(model.name(), 0) * model.boxes()));
      warmings.begin(freeBoxes(), byBoxes, nowNanos).forEach(order -> order(order, nowNanos));
    }
  }

  /** Takes a formation a step further; returns false if it is done or given up. */
  private boolean advance(Formation formation, long nowNanos) {
    ReplicaId replica = formation.replica();
    List<BoxSight> members = new ArrayList<>();
    for (String id : formation.memberIds()) {
      BoxSight sight = sightsById.get(id);
      if (sight == null || !sight.isFit()) {
        return giveUp(formation, "member " + id + " is not fit", nowNanos);
      }
      members.add(sight);
    }
    BoxSight head = members.get(0);
    if (head.isIn(replica, MemberState.OPEN)) {
      // From now on it is kept as any standing replica.
      return false;
    }
    if (formation.isOverdue(nowNanos)) {
      return giveUp(formation, "not ready in time", nowNanos);
    }
    bind(members, formation.model().name());
    if (members.stream().allMatch(member -> member.isIn(replica, MemberState.READY))) {
      order(BoxOrder.of(head.box().id(), Verb.OPEN, replica, "all members are ready"), nowNanos);
      return true;
    }
    for (BoxSight member : members) {
      if (!isMemberOf(member, replica)) {
        order(
            BoxOrder.join(
                member.box().id(),
                replica,
                formation.model().name(),
                formation.memberIds(),
                "forming"),
            nowNanos);
      }
    }
    return true;
  }

  private boolean giveUp(Formation formation, String why, long nowNanos) {
    BoxSight head = sightsById.get(formation.headId());
    if (head != null && isMemberOf(head, formation.replica()) && !head.isLost()) {
      boundIds.addAll(formation.memberIds());
      order(
          BoxOrder.of(head.box().id(), Verb.LEAVE, formation.replica(), "given up: " + why),
          nowNanos);
    }
    return false;
  }

  /**
   * Decides on members whose head is not among the boxes: one that was seen is dead or belongs
   * elsewhere by now, and the members are free; one that never was may still be open somewhere.
   */
  private void keepHeadless(ObservedReplica replica, Set<ReplicaId> headsSeen, long nowNanos) {
    if (headsSeen.contains(replica.replica())) {
      // A member that was cut off together with its head did not make the head break.
      replica.members().stream().filter(member -> !member.isSteady()).forEach(this::bindStuck);
      return;
    }
    long sinceNanos = headlessSinceNanos.computeIfAbsent(replica.replica(), id -> nowNanos);
    if (nowNanos - sinceNanos < timing.headlessNanos()) {
      replica.members().forEach(this::bindStuck);
    }
  }

  private void bindStuck(BoxSight member) {
    boundIds.add(member.box().id());
    stuckIds.add(member.box().id());
  }

  /** Decides on a replica that is not being formed by this keeper. */
  private void keep(ObservedReplica replica, BoxSight head, EngineSpec spec, long nowNanos) {
    String modelName = replica.model();
    ModelShape model = modelName == null ? null : spec.findModel(modelName).orElse(null);
    Membership membership = head.box().membership();
    MemberState state = membership == null ? MemberState.BROKEN : membership.state();
    boolean isWhole = model != null && !replica.hasLostMember(model.boxes());
    if (isWhole
        && !replica.hasLeavingMember()
        && keepWhole(replica, head, state, model, nowNanos)) {
      return;
    }
    // Until its head has let go, nobody of it may be joined elsewhere.
    replica.members().forEach(member -> boundIds.add(member.box().id()));
    isMending = true;
    hasLoss = hasLoss || !isWhole;
    if (head.isLost()) {
      // Its members are free only once it is dead for certain.
      replica.members().forEach(this::bindStuck);
      return;
    }
    replica.members().stream().filter(BoxSight::isFit).forEach(comingFree::add);
    if (state.isServing()) {
      close(replica, head, state, isWhole, nowNanos);
    } else {
      order(BoxOrder.of(head.box().id(), Verb.LEAVE, replica.replica(), "let go"), nowNanos);
    }
  }

  private boolean keepWhole(
      ObservedReplica replica, BoxSight head, MemberState state, ModelShape model, long nowNanos) {
    boolean isClosed = closings.containsKey(replica.replica());
    if (state == MemberState.OPEN && !isClosed) {
      bind(replica.members(), model.name());
      return true;
    }
    if (state == MemberState.READY && replica.isEveryMemberReady() && !isClosed) {
      // Left ready by an earlier keeper: it only needs to be opened.
      bind(replica.members(), model.name());
      order(BoxOrder.of(head.box().id(), Verb.OPEN, replica.replica(), "found ready"), nowNanos);
      return true;
    }
    return false;
  }

  private void close(
      ObservedReplica replica, BoxSight head, MemberState state, boolean isWhole, long nowNanos) {
    Closing closing =
        closings.computeIfAbsent(replica.replica(), id -> new Closing(nowNanos, false));
    boolean isOverdue = nowNanos - closing.sinceNanos() > timing.drainLimitNanos();
    if (!isWhole || closing.isUrgent() || isOverdue) {
      String reason = isOverdue ? "its work lasts too long" : "a member is lost";
      order(
          BoxOrder.of(
              head.box().id(),
              Verb.CLOSE_NOW,
              replica.replica(),
              isWhole && closing.isUrgent() ? MAKES_ROOM : reason),
          nowNanos);
    } else if (state == MemberState.OPEN) {
      String reason = replica.hasLeavingMember() ? "a member leaves" : MAKES_ROOM;
      order(
          BoxOrder.of(head.box().id(), Verb.CLOSE_AFTER_WORK, replica.replica(), reason), nowNanos);
    }
  }

  /**
   * Returns how many replicas of each model the domain is to hold now: before the first request
   * what the plan says, then what stands and what its free boxes do best.
   */
  private Map<String, Integer> want(ReplicaPlan plan, List<ModelShape> models) {
    Map<String, Integer> counts = new HashMap<>();
    if (demand.hasTraffic()) {
      counts.putAll(standing);
      packing
          .fill(available(), standing)
          .forEach((name, more) -> counts.merge(name, more, Integer::sum));
    } else {
      models.forEach(model -> counts.put(model.name(), plan.wanted(domain, model.name())));
    }
    return counts;
  }

  /** Returns the boxes that are free, or come free as their replicas are closed. */
  private List<BoxSight> available() {
    List<BoxSight> available = freeBoxes();
    available.addAll(comingFree);
    available.removeIf(BoxSight::isBlank);
    return available;
  }

  private static List<ModelShape> modelsOf(EngineSpec spec) {
    return spec.models().stream().filter(model -> model.share() > 0).toList();
  }

  /** Returns the models, the most pressed first; of equal ones the one that lacks the most. */
  private List<ModelShape> byNeed(EngineSpec spec) {
    List<ModelShape> models = new ArrayList<>(modelsOf(spec));
    models.sort(
        Comparator.comparingDouble((ModelShape model) -> -demand.pressure(model.name()))
            .thenComparingDouble(model -> coverage(model)));
    return models;
  }

  private void formMissing(List<ModelShape> models, long nowNanos) {
    for (ModelShape model : models) {
      while (surplus(model.name()) < 0) {
        if (!form(model, nowNanos)) {
          break;
        }
      }
    }
  }

  /**
   * Closes one or two standing replicas if their boxes, together with what is free, relieve the
   * most pressed model. That costs their callers a move and their boxes one to two seconds. So it
   * is done when boxes have just come free, which must be put to use anyway, or else under high
   * pressure, for a clear gain, and by one domain after the other.
   */
  private void convert(Collection<ObservedReplica> observed, long nowNanos) {
    Set<String> availableIds = new HashSet<>();
    available().forEach(sight -> availableIds.add(sight.box().id()));
    // A new keeper finds idle boxes that came free long ago.
    boolean hasMore =
        formerlyAvailableIds != null && !formerlyAvailableIds.containsAll(availableIds);
    formerlyAvailableIds = availableIds;
    double before = packing.worstPressure(wanted, Map.of());
    boolean isMyTurn = (nowNanos / TURN_NANOS + domain.hashCode()) % TURNS == 0;
    boolean isPressed = before >= CONVERTING_PRESSURE && isMyTurn;
    boolean isTooSoon = nowNanos - convertedNanos < CONVERTING_INTERVAL_NANOS;
    if (isTooSoon || !(hasMore || isPressed)) {
      return;
    }
    double gain = hasMore ? LEAST_GAIN : CONVERTING_GAIN;
    List<ObservedReplica> givable = observed.stream().filter(this::isGivable).toList();
    List<ObservedReplica> best = List.of();
    double least = before - gain;
    for (List<ObservedReplica> some : oneOrTwoOf(givable)) {
      double after = pressureWithout(some);
      if (after < least) {
        best = some;
        least = after;
      }
    }
    for (ObservedReplica replica : best) {
      convertedNanos = nowNanos;
      closings.put(replica.replica(), new Closing(nowNanos, hasLoss));
      close(replica, Objects.requireNonNull(replica.head()), MemberState.OPEN, true, nowNanos);
    }
  }

  private static List<List<ObservedReplica>> oneOrTwoOf(List<ObservedReplica> replicas) {
    List<List<ObservedReplica>> choices = new ArrayList<>();
    replicas.forEach(replica -> choices.add(List.of(replica)));
    for (int i = 0; i < replicas.size(); i++) {
      for (int j = i + 1; j < replicas.size(); j++) {
        choices.add(List.of(replicas.get(i), replicas.get(j)));
      }
    }
    return choices;
  }

  private boolean isGivable(ObservedReplica replica) {
    BoxSight head = replica.head();
    return head != null
        && replica.model() != null
        && head.box().isOpenHead()
        && !closings.containsKey(replica.replica());
  }

  /** Returns the worst pressure if the boxes of replicas, and what is free, form what is best. */
  private double pressureWithout(List<ObservedReplica> replicas) {
    Map<String, Integer> rest = new HashMap<>(standing);
    List<BoxSight> boxes = available();
    for (ObservedReplica replica : replicas) {
      rest.merge(String.valueOf(replica.model()), -1, Integer::sum);
      boxes.addAll(replica.members());
    }
    return packing.worstPressure(rest, packing.fill(boxes, rest));
  }

  /** Closes a replica beyond the plan if a wanted one has no boxes otherwise. */
  private void giveUpReserve(EngineSpec spec, Collection<ObservedReplica> observed, long nowNanos) {
    ModelShape lacking = findLacking(spec);
    if (lacking == null) {
      return;
    }
    for (ObservedReplica replica : observed) {
      BoxSight head = replica.head();
      String model = replica.model();
      if (isGivable(replica) && head != null && model != null && surplus(model) > 0) {
        // After a loss each second counts; else the work may end first, as the leaving one's does.
        closings.put(replica.replica(), new Closing(nowNanos, hasLoss));
        close(replica, head, MemberState.OPEN, true, nowNanos);
        return;
      }
    }
  }

  /** Returns the most pressed model that lacks a replica and boxes for it, or null. */
  private @Nullable ModelShape findLacking(EngineSpec spec) {
    int available = freeBoxes().size() + comingFree.size();
    return byNeed(spec).stream()
        .filter(model -> surplus(model.name()) < 0 && model.boxes() > available)
        .findFirst()
        .orElse(null);
  }

  /** Lets the boxes that nobody wants serve too, for the most pressed model that they can hold. */
  private void formReserve(List<ModelShape> models, long nowNanos) {
    boolean isComplete = models.stream().allMatch(model -> surplus(model.name()) >= 0);
    if (!isComplete || isMending || !closings.isEmpty()) {
      return;
    }
    for (ModelShape model : models) {
      if (form(model, nowNanos)) {
        return;
      }
    }
  }

  private int surplus(String model) {
    return standing.getOrDefault(model, 0) - wanted.getOrDefault(model, 0);
  }

  private double coverage(ModelShape model) {
    int count = wanted.getOrDefault(model.name(), 0);
    return count == 0 ? 1 : (double) standing.getOrDefault(model.name(), 0) / count;
  }

  /** Returns the free boxes that can hold the model soonest, as many as it needs if there are. */
  private List<BoxSight> pickMembers(ModelShape model) {
    List<BoxSight> free = freeBoxes();
    free.sort(
        Comparator.comparingInt((BoxSight sight) -> sight.joinCost(model))
            .thenComparing(sight -> sight.box().id()));
    return free.subList(0, Math.min(free.size(), model.boxes()));
  }

  private boolean form(ModelShape model, long nowNanos) {
    List<BoxSight> members = pickMembers(model);
    if (members.size() < model.boxes()) {
      return false;
    }
    // The list may lag behind the engines: a head that it shows as free may be open again.
    if (sightsById.values().stream().anyMatch(sight -> sight.isFit() && !sight.isConfirmed())) {
      needsWords = true;
      return false;
    }
    int loads = (int) members.stream().filter(sight -> sight.isCold(model)).count();
    // A load keeps all members idle: the weights are put on the hosts first, but at the very start.
    if (loads > 0 && !isFresh) {
      return false;
    }
    List<String> ids = members.stream().map(sight -> sight.box().id()).toList();
    long epoch = epochs.getAsLong();
    ReplicaId replica = ReplicaId.of(domain, model.name(), epoch, members.get(0).box());
    double seconds = loads > 0 ? model.loadSeconds() * loads : model.warmSeconds();
    long limitNanos = (long) (seconds * 1e9) + timing.joinSlackNanos();
    Formation formation = new Formation(replica, model, ids, nowNanos, limitNanos);
    formations.put(replica, formation);
    bind(members, model.name());
    for (String id : ids) {
      order(BoxOrder.join(id, replica, model.name(), ids, "to hold " + model.name()), nowNanos);
    }
    return true;
  }

  /** Orders the loads to hosts: of what lacks first, then of what is free, then of the reserve. */
  private void prepareHosts(EngineSpec spec, List<ModelShape> models, long nowNanos) {
    if (needsWords) {
      return;
    }
    boolean isUrgent = standing.isEmpty() || !demand.hasTraffic() || hasUnservedModel(models);
    stagings.begin(spec, sightsById, isUrgent, nowNanos);
    for (ModelShape model : models) {
      if (surplus(model.name()) < 0) {
        pickMembers(model).forEach(sight -> stage(sight, model, nowNanos));
      }
    }
    for (BoxSight sight : freeBoxes()) {
      if (sight.isBlank()) {
        stage(sight, firstToLoad(models), nowNanos);
      } else if (sight.hasRoomOnHost() && !isUrgent) {
        // A spare that held one model last and has another on its host fits either replica.
        models.stream()
            .filter(sight::isCold)
            .findFirst()
            .ifPresent(model -> stage(sight, model, nowNanos));
      }
    }
    if (formations.isEmpty() && !isMending) {
      sightsById.values().forEach(sight -> prepareForOther(sight, spec, models, nowNanos));
    }
  }

  private boolean hasUnservedModel(List<ModelShape> models) {
    return models.stream().anyMatch(model -> demand.replicaCount(model.name()) == 0);
  }

  /**
   * Returns the model that boxes without weights load first: the one with the smallest replicas,
   * which can serve soonest as boxes load one after the other, unless another is pressed far more.
   */
  private ModelShape firstToLoad(List<ModelShape> models) {
    ModelShape pressed = models.get(0);
    double least = LOADING_PRESSURE_PART * demand.pressure(pressed.name());
    return models.stream()
        .filter(model -> demand.pressure(model.name()) >= least)
        .min(Comparator.comparingInt(ModelShape::boxes))
        .orElse(pressed);
  }

  /** Puts another model's weights on the host of a box that could be spared for it. */
  private void prepareForOther(
      BoxSight sight, EngineSpec spec, List<ModelShape> models, long nowNanos) {
    FleetBox box = sight.box();
    ModelShape other = models.stream().filter(sight::isCold).findFirst().orElse(null);
    // In traffic only small replicas are prepared, and not while their own model needs them more.
    double pressure = demand.pressure(box.model());
    boolean isSpare =
        isSmall(box, spec)
            && other != null
            && (pressure < PREPARING_PRESSURE || pressure < demand.pressure(other.name()));
    if (sight.isFit() && other != null && (isSpare || !demand.hasTraffic())) {
      stage(sight, other, nowNanos);
    }
  }

  private void stage(BoxSight sight, ModelShape model, long nowNanos) {
    if (stagings.tryBegin(sight, model, nowNanos)) {
      order(BoxOrder.stage(sight.box().id(), model.name(), "to be at hand for a loss"), nowNanos);
    }
  }

  /** Returns true if the box serves in a replica of the smallest model. */
  private static boolean isSmall(FleetBox box, EngineSpec spec) {
    int smallest = spec.models().stream().mapToInt(ModelShape::boxes).min().orElse(0);
    return spec.findModel(String.valueOf(box.model()))
        .filter(model -> model.boxes() == smallest)
        .isPresent();
  }

  private List<BoxSight> freeBoxes() {
    List<BoxSight> free = new ArrayList<>();
    for (BoxSight sight : sightsById.values()) {
      if (sight.isFit() && !boundIds.contains(sight.box().id())) {
        free.add(sight);
      }
    }
    return free;
  }

  private void bind(Collection<BoxSight> members, String model) {
    members.forEach(member -> boundIds.add(member.box().id()));
    standing.merge(model, 1, Integer::sum);
  }

  private void order(BoxOrder order, long nowNanos) {
    if (orderBook.isDue(order, nowNanos)) {
      orders.add(order);
    }
  }

  /**
   * A replica whose boxes are to serve elsewhere.
   *
   * @param sinceNanos when that was decided
   * @param isUrgent true if its work is not waited for
   */
  private record Closing(long sinceNanos, boolean isUrgent) {}

  private static boolean isMemberOf(BoxSight sight, ReplicaId replica) {
    Membership membership = sight.box().membership();
    return membership != null && membership.replica().equals(replica);
  }
}
