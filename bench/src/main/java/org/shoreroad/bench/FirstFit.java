package org.shoreroad.bench;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import org.shoreroad.Box;
import org.shoreroad.config.ModelSpec;
import org.shoreroad.placement.ListedBox;
import org.shoreroad.placement.PlanStep;
import org.shoreroad.state.ClusterState;

/** Baseline planner that takes the first fabric domain, by name, with enough free boxes. */
final class FirstFit {
  private FirstFit() {}

  /** Returns the steps that form the missing replicas of all models by first-fit. */
  static List<PlanStep> plan(ClusterState state, Collection<ListedBox> listed) {
    TreeMap<String, List<Box>> freeByDomain = new TreeMap<>();
    for (ListedBox box : listed) {
      if (!box.isLeaving() && state.holderOf(box.box().name()) == null) {
        freeByDomain
            .computeIfAbsent(box.box().fabricDomain(), d -> new ArrayList<>())
            .add(box.box());
      }
    }
    List<PlanStep> steps = new ArrayList<>();
    for (ModelSpec model : state.configuration().all(ModelSpec.class)) {
      int missing = model.replicas() - state.standingGenerations(model.name()).size();
      for (List<Box> free : freeByDomain.values()) {
        while (missing > 0 && free.size() >= model.boxesPerReplica()) {
          List<Box> chosen = free.subList(0, model.boxesPerReplica());
          steps.add(new PlanStep.Form(model.name(), chosen));
          chosen.clear();
          missing--;
        }
      }
    }
    return steps;
  }
}
