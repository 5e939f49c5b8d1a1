package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.FleetBox;

/** The sample of upstreams that a process compares for one request. */
class ShortlistTest {
  private static final int ZONES = 5;

  private static List<FleetBox> boxes(int count) {
    List<FleetBox> boxes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String id = "i-" + i;
      boxes.add(
          new FleetBox(
              id, "llm", id + ":1", "z" + i % ZONES, 15, false, "d", null, List.of(), null));
    }
    return boxes;
  }

  @Test
  void fewProcessesCompareAllUpstreams() {
    List<FleetBox> boxes = boxes(10);
    List<FleetBox> drawn = Shortlist.draw(boxes, "z0", 12, new SplittableRandom(1));
    assertThat(drawn, containsInAnyOrder(boxes.toArray()));
  }

  @Test
  void manyProcessesCompareAsManyUpstreamsOfTheirZoneAsOfAllOthers() {
    for (int seed = 0; seed < 20; seed++) {
      List<FleetBox> drawn = Shortlist.draw(boxes(35), "z2", 95, new SplittableRandom(seed));
      long near = drawn.stream().filter(box -> box.zone().equals("z2")).count();
      assertThat(near, is(4L));
      assertThat(drawn.size(), is(8));
      assertThat(new HashSet<>(drawn).size(), is(8));
    }
  }

  @Test
  void aProcessInAZoneWithoutUpstreamsComparesThoseOfOtherZones() {
    assertThat(Shortlist.draw(boxes(35), "z9", 95, new SplittableRandom(3)).size(), is(4));
    assertThat(Shortlist.draw(List.of(), "z9", 95, new SplittableRandom(3)).size(), is(0));
  }

  @Test
  void allUpstreamsOfAZoneAreDrawnEquallyOften() {
    SplittableRandom random = new SplittableRandom(5);
    List<FleetBox> boxes = boxes(35);
    Map<String, Integer> draws = new HashMap<>();
    for (int i = 0; i < 7_000; i++) {
      Shortlist.draw(boxes, "z1", 95, random).stream()
          .filter(box -> box.zone().equals("z1"))
          .forEach(box -> draws.merge(box.id(), 1, Integer::sum));
    }
    // Four of seven are drawn, so 4,000 times each; six standard deviations are 250.
    draws
        .values()
        .forEach(
            count -> {
              assertThat(count, greaterThan(3_750));
              assertThat(count, lessThan(4_250));
            });
  }
}
