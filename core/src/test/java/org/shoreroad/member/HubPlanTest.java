package org.shoreroad.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shoreroad.member.HubPlan.ProcessLocation;

class HubPlanTest {
  private static List<ProcessLocation> locations(int count, int zones) {
    List<ProcessLocation> locations = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      locations.add(new ProcessLocation("box-" + i + "~" + (i * 7919), "zone-" + i % zones));
    }
    return locations;
  }

  private static HubPlan planOf(ProcessLocation self, List<ProcessLocation> all) {
    return HubPlan.of(self, all.stream().filter(location -> !location.equals(self)).toList());
  }

  @Test
  void fewProcessesFormAFullMesh() {
    List<ProcessLocation> all = locations(12, 3);
    HubPlan plan = planOf(all.get(0), all);
    assertThat(plan.isFullMesh(), is(true));
    assertThat(planOf(locations(13, 3).get(0), locations(13, 3)).isFullMesh(), is(false));
  }

  @Test
  void allProcessesComputeTheSameHubsAndMembersHaveAHubInTheirZone() {
    List<ProcessLocation> all = locations(79, 4);
    Map<String, String> zones = new HashMap<>();
    all.forEach(location -> zones.put(location.name(), location.zone()));
    Set<Set<String>> hubSets = new HashSet<>();
    for (ProcessLocation self : all) {
      HubPlan plan = planOf(self, all);
      Set<String> hubs = new HashSet<>(plan.hubs());
      if (plan.isHub()) {
        hubs.add(self.name());
      } else {
        assertThat(zones.get(plan.ownHub()), is(self.zone()));
        assertThat(plan.hubs().contains(plan.ownHub()), is(true));
      }
      hubSets.add(hubs);
    }
    assertThat(hubSets.size(), is(1));
  }

  @Test
  void everyZoneHasTwoHubs() {
    List<ProcessLocation> all = locations(40, 17);
    Map<String, Integer> hubsByZone = new HashMap<>();
    for (ProcessLocation self : all) {
      hubsByZone.merge(self.zone(), planOf(self, all).isHub() ? 1 : 0, Integer::sum);
    }
    assertThat(hubsByZone.values(), everyItem(greaterThanOrEqualTo(2)));
  }

  @Test
  void lossOfAHubMovesFewMembersOfOtherHubs() {
    List<ProcessLocation> all = locations(79, 4);
    ProcessLocation lost =
        all.stream().filter(location -> planOf(location, all).isHub()).findFirst().orElseThrow();
    List<ProcessLocation> remaining =
        all.stream().filter(location -> !location.equals(lost)).toList();
    int moved = 0;
    for (ProcessLocation self : remaining) {
      HubPlan before = planOf(self, all);
      HubPlan after = planOf(self, remaining);
      boolean isNewHub = after.isHub() && !before.isHub();
      boolean wasMemberOfLost = lost.name().equals(before.ownHub());
      if (!isNewHub
          && !wasMemberOfLost
          && !String.valueOf(before.ownHub()).equals(after.ownHub() + "")) {
        moved++;
      }
    }
    // Other members move only if they join the new hub that replaces the lost one.
    assertThat(moved, is(lessThan(10)));
  }
}
