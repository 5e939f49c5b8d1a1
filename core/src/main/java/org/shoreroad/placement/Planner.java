package org.shoreroad.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.shoreroad.Box;
import org.shoreroad.config.BoxLabels;
import org.shoreroad.config.Configuration;
import org.shoreroad.config.ModelSpec;
import org.shoreroad.state.ClusterState;
import org.shoreroad.state.DissolveReason;
import org.shoreroad.state.Generation;

/**
 * Plans which replicas to dissolve and which to form.
 *
 * <p>The plan is a pure function of the applied state and the platform's list of boxes. A standing
 * replica that is still wanted is never dissolved or moved. If several fabric domains have room for
 * a replica, a weight set by operators decides between leaving a spare box for repairs in the
 * domain (less group downtime) and leaving no box that can't form a replica (fewer stranded
 * accelerators).
 *
 * <p>All methods are thread-safe.
 *
 * @since 0.1
 */
public final class Planner {
  private static final int FULL_PERCENT = 100;

  private Planner() {}

  /**
   * Returns the steps from the standing replicas to the wanted ones.
   *
   * @param state the applied state, not null
   * @param listed the boxes in the platform's list, not null
   * @return the steps in this order: replicas to dissolve, replicas to form, standby replicas to
   *     dissolve for other models
   */
  public static List<PlanStep> plan(ClusterState state, Collection<ListedBox> listed) {
    List<PlanStep> steps = new ArrayList<>();
    // Replicas to dissolve.
    Set<String> leaving =
        listed.stream()
            .filter(ListedBox::isLeaving)
            .map(b -> b.box().name())
            .collect(Collectors.toSet());
    Map<String, Integer> standing = planDissolving(state, leaving, steps);
    // Replicas to form, first of the model with the smallest part of its replicas standing.
    FreeBoxes free = FreeBoxes.of(state, listed);
    List<ModelSpec> models = new ArrayList<>(state.configuration().all(ModelSpec.class));
    while (true) {
      Optional<PlanStep.Form> form = planNext(state, models, standing, free);
      if (form.isEmpty()) {
        planStandbyRelease(state, models, standing, steps);
        return steps;
      }
      steps.add(form.get());
      standing.merge(form.get().model(), 1, Integer::sum);
      free.removeAll(form.get().boxes());
    }
  }

  private static Map<String, Integer> planDissolving(
      ClusterState state, Set<String> leaving, List<PlanStep> steps) {
    Map<String, Integer> kept = new TreeMap<>();
    for (Generation generation : state.standingGenerations()) {
      int count = kept.getOrDefault(generation.model(), 0);
      DissolveReason reason = findReason(state.configuration(), generation, leaving, count);
      if (reason == null) {
        kept.put(generation.model(), count + 1);
      } else {
        steps.add(new PlanStep.Dissolve(generation.number(), reason));
      }
    }
    return kept;
  }

  private static @Nullable DissolveReason findReason(
      Configuration configuration, Generation generation, Set<String> leaving, int keptBefore) {
    ModelSpec model = configuration.model(generation.model()).orElse(null);
    if (model == null
        || keptBefore >= configuration.maxStandingReplicas(model)
        || generation.boxes().size() != model.boxesPerReplica()) {
      return DissolveReason.NOT_WANTED;
    }
    for (Box box : generation.boxes()) {
      BoxLabels labels = configuration.boxLabels(box.name());
      if (leaving.contains(box.name()) || labels.isDraining()) {
        return DissolveReason.BOX_LEAVING;
      }
      if (!model.matchesLabels(labels.labels())) {
        return DissolveReason.NOT_WANTED;
      }
    }
    return null;
  }

  /** Dissolves a standby replica for each model that lacks a replica and can use its boxes. */
  private static void planStandbyRelease(
      ClusterState state,
      List<ModelSpec> models,
      Map<String, Integer> standing,
      List<PlanStep> steps) {
    for (ModelSpec lacking : models) {
      if (standing.getOrDefault(lacking.name(), 0) >= lacking.replicas()) {
        continue;
      }
      for (Generation generation : state.standingGenerations()) {
        ModelSpec holder = state.configuration().model(generation.model()).orElse(null);
        boolean isStandby =
            holder != null && standing.getOrDefault(holder.name(), 0) > holder.replicas();
        if (isStandby && isUsable(state.configuration(), generation, lacking)) {
          steps.add(new PlanStep.Dissolve(generation.number(), DissolveReason.NOT_WANTED));
          standing.merge(holder.name(), -1, Integer::sum);
          break;
        }
      }
    }
  }

  private static boolean isUsable(
      Configuration configuration, Generation generation, ModelSpec model) {
    return generation.boxes().size() >= model.boxesPerReplica()
        && generation.boxes().stream()
            .allMatch(b -> model.matchesLabels(configuration.boxLabels(b.name()).labels()));
  }

  private static Optional<PlanStep.Form> planNext(
      ClusterState state, List<ModelSpec> models, Map<String, Integer> standing, FreeBoxes free) {
    List<ModelSpec> lacking =
        models.stream()
            .filter(
                m ->
                    standing.getOrDefault(m.name(), 0)
                        < state.configuration().maxStandingReplicas(m))
            .sorted(
                Comparator.comparingDouble(
                        (ModelSpec m) -> standing.getOrDefault(m.name(), 0) / (double) m.replicas())
                    .thenComparing(ModelSpec::name))
            .toList();
    for (ModelSpec model : lacking) {
      Optional<PlanStep.Form> form = planOne(state.configuration(), model, free);
      if (form.isPresent()) {
        return form;
      }
    }
    return Optional.empty();
  }

  private static Optional<PlanStep.Form> planOne(
      Configuration configuration, ModelSpec model, FreeBoxes free) {
    int weight = configuration.policy().downtimeWeightPercent();
    List<Box> best = List.of();
    double bestScore = Double.NEGATIVE_INFINITY;
    for (List<Box> candidates : free.eligible(configuration, model)) {
      if (candidates.size() < model.boxesPerReplica()) {
        continue;
      }
      double score = score(candidates.size(), model.boxesPerReplica(), weight);
      if (score > bestScore) {
        bestScore = score;
        best = candidates;
      }
    }
    return best.isEmpty()
        ? Optional.empty()
        : Optional.of(new PlanStep.Form(model.name(), best.subList(0, model.boxesPerReplica())));
  }

  /** Returns the score of forming a replica in a domain with this many free boxes. */
  private static double score(int freeCount, int perReplica, int downtimeWeightPercent) {
    int left = freeCount - perReplica;
    int strandedAfter = left % perReplica;
    double repairs = Math.min(left, 1);
    double stranded = strandedAfter / (double) perReplica;
    double weight = downtimeWeightPercent / (double) FULL_PERCENT;
    return weight * repairs - (1 - weight) * stranded;
  }

  /** Free boxes by fabric domain, in a fixed order. */
  private static final class FreeBoxes {
    private final Map<String, TreeMap<String, Box>> byDomain = new TreeMap<>();

    static FreeBoxes of(ClusterState state, Collection<ListedBox> listed) {
      FreeBoxes free = new FreeBoxes();
      for (ListedBox entry : listed) {
        Box box = entry.box();
        if (!entry.isLeaving()
            && state.holderOf(box.name()) == null
            && !state.configuration().boxLabels(box.name()).isDraining()) {
          free.byDomain
              .computeIfAbsent(box.fabricDomain(), d -> new TreeMap<>())
              .put(box.name(), box);
        }
      }
      return free;
    }

    /** Returns the free boxes that the model selects, in groups within which a replica may lie. */
    List<List<Box>> eligible(Configuration configuration, ModelSpec model) {
      List<List<Box>> groups = new ArrayList<>();
      for (TreeMap<String, Box> domain : byDomain.values()) {
        groups.add(
            domain.values().stream()
                .filter(box -> model.matchesLabels(configuration.boxLabels(box.name()).labels()))
                .toList());
      }
      return model.sameFabricDomain()
          ? groups
          : List.of(groups.stream().flatMap(List::stream).toList());
    }

    void removeAll(List<Box> boxes) {
      for (Box box : boxes) {
        TreeMap<String, Box> domain = byDomain.get(box.fabricDomain());
        if (domain != null) {
          domain.remove(box.name());
        }
      }
    }
  }

  /** Returns the names of the models with fewer standing replicas than configured. */
  public static Set<String> findLacking(ClusterState state) {
    Set<String> lacking = new TreeSet<>();
    for (ModelSpec model : state.configuration().all(ModelSpec.class)) {
      if (state.standingGenerations(model.name()).size() < model.replicas()) {
        lacking.add(model.name());
      }
    }
    return lacking;
  }
}
