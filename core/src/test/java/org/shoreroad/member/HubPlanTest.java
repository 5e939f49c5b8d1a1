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
  private static List<ProcessLocation> places(int count, int zones) {
    List<ProcessLocation> places = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      places.add(new ProcessLocation("box-" + i + "~" + (i * 7919), "zone-" + i % zones));
    }
    return places;
  }

  private static HubPlan planOf(ProcessLocation self, List<ProcessLocation> all) {
    return HubPlan.of(self, all.stream().filter(place -> !place.equals(self)).toList());
  }

  @Test
  void fewProcessesTellAllOthers() {
    List<ProcessLocation> all = places(12, 3);
    HubPlan plan = planOf(all.get(0), all);
    assertThat(plan.isFullMesh(), is(true));
    assertThat(planOf(places(13, 3).get(0), places(13, 3)).isFullMesh(), is(false));
  }

  @Test
  void allDeriveTheSameHubsAndEachMemberHasOneInItsZone() {
    List<ProcessLocation> all = places(79, 4);
    Map<String, String> zones = new HashMap<>();
    all.forEach(place -> zones.put(place.name(), place.zone()));
    Set<Set<String>> views = new HashSet<>();
    for (ProcessLocation self : all) {
      HubPlan plan = planOf(self, all);
      Set<String> view = new HashSet<>(plan.hubs());
      if (plan.isHub()) {
        view.add(self.name());
      } else {
        assertThat(zones.get(plan.ownHub()), is(self.zone()));
        assertThat(plan.hubs().contains(plan.ownHub()), is(true));
      }
      views.add(view);
    }
    assertThat(views.size(), is(1));
  }

  @Test
  void everyZoneCanLoseAHub() {
    List<ProcessLocation> all = places(40, 17);
    Map<String, Integer> hubsByZone = new HashMap<>();
    for (ProcessLocation self : all) {
      hubsByZone.merge(self.zone(), planOf(self, all).isHub() ? 1 : 0, Integer::sum);
    }
    assertThat(hubsByZone.values(), everyItem(greaterThanOrEqualTo(2)));
  }

  @Test
  void theLossOfAHubMovesOnlyItsOwnMembers() {
    List<ProcessLocation> all = places(79, 4);
    ProcessLocation lost = all.stream().filter(place -> planOf(place, all).isHub()).findFirst().orElseThrow();
    List<ProcessLocation> left = all.stream().filter(place -> !place.equals(lost)).toList();
    int moved = 0;
    for (ProcessLocation self : left) {
      HubPlan before = planOf(self, all);
      HubPlan after = planOf(self, left);
      boolean isNewHub = after.isHub() && !before.isHub();
      boolean wasTheLost = lost.name().equals(before.ownHub());
      if (!isNewHub
          && !wasTheLost
          && !String.valueOf(before.ownHub()).equals(after.ownHub() + "")) {
        moved++;
      }
    }
    // Only the members of the hub that takes the lost one's place may move besides.
    assertThat(moved, is(lessThan(10)));
  }
}
