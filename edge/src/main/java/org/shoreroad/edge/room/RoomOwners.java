package org.shoreroad.edge.room;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.shoreroad.admission.OwnerChoice;
import org.shoreroad.edge.peer.HeartbeatAdditions.RoomOwner;
import org.shoreroad.edge.relay.HeadView;
import org.shoreroad.edge.relay.RoomBroker;
import org.shoreroad.traffic.UpstreamService;

/**
 * The known owners of fabric domains and the room that load reports show at their heads. Used on
 * the event loop.
 */
final class RoomOwners {
  /** Time for which an owner's own report of free room counts: until the next load reports. */
  private static final long FREE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final String zone;
  private final BiFunction<UpstreamService, String, List<HeadView>> heads;
  private final LongSupplier clockNanos;
  private final RandomGenerator random;
  private final Map<String, Long> avoidedUntilNanos = new HashMap<>();
  private final Map<String, FreeReport> freeReports = new HashMap<>();
  private Map<String, RoomOwner> byDomain = Map.of();

  /** Free room at the heads of a model, as their owner has reported it. */
  private record FreeReport(int count, long receivedNanos) {}

  /**
   * Owner of heads of a model.
   *
   * @param owner the process, not null
   * @param domainsByHead the key of the domain of each of its heads, by the id of the head
   * @param choice the room at its heads, not null
   */
  record ModelOwner(
      RoomOwner owner, Map<String, String> domainsByHead, OwnerChoice.Candidate choice) {
    String name() {
      return owner.process();
    }

    /** Returns the key of the domain of a head, or an empty text if it isn't known here. */
    String domainOf(String headId) {
      return domainsByHead.getOrDefault(headId, "");
    }
  }

  /**
   * Creates an instance without owners.
   *
   * @param zone the availability zone of this process, not null
   * @param heads returns the open heads of a model, not null
   */
  RoomOwners(
      String zone,
      BiFunction<UpstreamService, String, List<HeadView>> heads,
      LongSupplier clockNanos,
      RandomGenerator random) {
    this.zone = zone;
    this.heads = heads;
    this.clockNanos = clockNanos;
    this.random = random;
  }

  /** Replaces the owners, by the key of the domain. */
  void setOwners(Map<String, RoomOwner> newByDomain) {
    byDomain = Map.copyOf(newByDomain);
    long nowNanos = clockNanos.getAsLong();
    avoidedUntilNanos.values().removeIf(untilNanos -> nowNanos - untilNanos >= 0);
    freeReports.values().removeIf(free -> nowNanos - free.receivedNanos() > FREE_NANOS);
  }

  /** Returns true if the owner of a head of the model is known. */
  boolean isAnyKnown(UpstreamService service, String model) {
    return !byDomain.isEmpty()
        && heads.apply(service, model).stream()
            .anyMatch(head -> byDomain.containsKey(head.domain()));
  }

  /** Returns the ids of the model's heads whose owner is known and may be asked. */
  Set<String> headsOfAnswering(UpstreamService service, String model) {
    Set<String> ids = new HashSet<>();
    for (HeadView head : heads.apply(service, model)) {
      RoomOwner owner = byDomain.get(head.domain());
      if (owner != null && !isAvoided(owner.process())) {
        ids.add(head.id());
      }
    }
    return ids;
  }

  /** Returns the owner of this name. */
  Optional<RoomOwner> find(String process) {
    return byDomain.values().stream().filter(owner -> owner.process().equals(process)).findFirst();
  }

  /** Returns true if the process owns the domain. */
  boolean isOwner(String process, String domain) {
    RoomOwner owner = byDomain.get(domain);
    return owner != null && owner.process().equals(process);
  }

  /** Returns the owners of heads of the model, by the key of the domain. */
  Map<String, RoomOwner> ownersOf(UpstreamService service, String model) {
    Map<String, RoomOwner> owners = new HashMap<>();
    for (HeadView head : heads.apply(service, model)) {
      RoomOwner owner = byDomain.get(head.domain());
      if (owner != null) {
        owners.put(head.domain(), owner);
      }
    }
    return owners;
  }

  /** Does not ask a process for some time. */
  void avoid(String process, long untilNanos) {
    avoidedUntilNanos.put(process, untilNanos);
  }

  /** Records that a process has replied, so that it is asked again. */
  void recordReply(String process) {
    avoidedUntilNanos.remove(process);
  }

  private boolean isAvoided(String process) {
    Long untilNanos = avoidedUntilNanos.get(process);
    return untilNanos != null && clockNanos.getAsLong() - untilNanos < 0;
  }

  /** Records how many more requests an owner could grant room. */
  void recordFree(String process, RoomBroker.Query query, int count) {
    freeReports.put(
        freeKey(process, query.service(), query.model()),
        new FreeReport(count, clockNanos.getAsLong()));
  }

  private static String freeKey(String process, UpstreamService service, String model) {
    return process + "/" + service.name() + "/" + model;
  }

  /**
   * Returns the owners that may be asked for room at heads of the model.
   *
   * @param excludedHeads the ids of the heads that don't count
   * @param asked the names of the owners that don't count
   */
  List<ModelOwner> of(
      UpstreamService service, String model, Set<String> excludedHeads, Set<String> asked) {
    Map<RoomOwner, List<HeadView>> usable = new HashMap<>();
    for (HeadView head : heads.apply(service, model)) {
      RoomOwner owner = byDomain.get(head.domain());
      if (owner != null
          && head.isUsable()
          && !excludedHeads.contains(head.id())
          && !asked.contains(owner.process())
          && !isAvoided(owner.process())) {
        usable.computeIfAbsent(owner, added -> new ArrayList<>()).add(head);
      }
    }
    List<ModelOwner> owners = new ArrayList<>();
    usable.forEach((owner, ownHeads) -> owners.add(toModelOwner(owner, ownHeads, service, model)));
    return owners;
  }

  private ModelOwner toModelOwner(
      RoomOwner owner, List<HeadView> ownHeads, UpstreamService service, String model) {
    int slotsOfHead = service.engine() == null ? 1 : Math.max(1, service.engine().slots());
    Map<String, String> domains = new HashMap<>();
    int free = 0;
    boolean isNear = false;
    for (HeadView head : ownHeads) {
      domains.put(head.id(), head.domain());
      free += Math.max(0, slotsOfHead - head.openCount());
      isNear |= head.zone().equals(zone);
    }
    FreeReport reported = freeReports.get(freeKey(owner.process(), service, model));
    if (reported != null && clockNanos.getAsLong() - reported.receivedNanos() <= FREE_NANOS) {
      free = reported.count();
    }
    int slots = slotsOfHead * ownHeads.size();
    return new ModelOwner(
        owner, domains, new OwnerChoice.Candidate(owner.process(), free, slots, isNear));
  }

  /** Returns the owner to ask, or null if there is none. */
  @Nullable ModelOwner choose(List<ModelOwner> candidates) {
    OwnerChoice.Candidate chosen =
        OwnerChoice.choose(candidates.stream().map(ModelOwner::choice).toList(), random)
            .orElse(null);
    for (ModelOwner candidate : candidates) {
      if (candidate.choice() == chosen) {
        return candidate;
      }
    }
    return null;
  }
}
