package org.shoreroad.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.shoreroad.Box;
import org.shoreroad.state.Generation;
import org.shoreroad.state.Node;

/** Tests of the balance and stability of the owner map, and of the choice of upstreams. */
class RoutingTest {
  private static List<Node> nodes(int count) {
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      nodes.add(new Node("n" + i, "h:1", "z" + i % 3));
    }
    return nodes;
  }

  private static List<Generation> generations(int count) {
    List<Generation> generations = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Box box = new Box("b" + i, "h:1", "d", "z" + i % 3);
      generations.add(Generation.of(i + 1, "m", List.of(box)));
    }
    return generations;
  }

  @Test
  void testOwnerMap_isBalancedWithinEachZone() {
    OwnerMap map = OwnerMap.of(generations(300), nodes(30));
    for (Node node : nodes(30)) {
      assertThat(map.ownedBy(node.id()).size(), lessThanOrEqualTo(13));
    }
    for (Generation generation : generations(300)) {
      assertThat(
          map.owner(generation.number()).orElseThrow().availabilityZone(),
          is(generation.head().availabilityZone()));
    }
  }

  @Test
  void testOwnerMap_movesFewGenerationsWhenANodeLeaves() {
    List<Node> all = nodes(30);
    OwnerMap before = OwnerMap.of(generations(300), all);
    OwnerMap after = OwnerMap.of(generations(300), all.subList(0, 29));
    long moved =
        generations(300).stream()
            .filter(g -> !before.owner(g.number()).equals(after.owner(g.number())))
            .count();
    assertThat(moved, lessThan(40L));
  }

  @Test
  void testOwnerMap_usesOtherZonesForAZoneWithoutNodes() {
    List<Node> others = nodes(30).stream().filter(n -> n.availabilityZone().equals("z1")).toList();
    OwnerMap map = OwnerMap.of(generations(30), others);
    for (Generation generation : generations(30)) {
      assertThat(map.owner(generation.number()).isPresent(), is(true));
    }
  }

  @Property(tries = 300, seed = "7")
  void testChoose_isNeverEmptyNorAvoidedWhileOthersAreUsable(@ForAll long seed) {
    Random random = new Random(seed);
    long now = 1_000_000_000L;
    List<String> names = List.of("a", "b", "c", "d");
    Map<String, UpstreamStats> stats = new HashMap<>();
    int avoided = 0;
    for (String name : names) {
      UpstreamStats s = UpstreamStats.of(now);
      if (random.nextBoolean()) {
        s = s.withFailure(now);
        avoided++;
      }
      stats.put(name, s.withSuccess(1 + random.nextInt(50)).withStarted());
    }
    String chosen =
        UpstreamChooser.choose(names, stats, random.nextBoolean() ? "p" : "", now).orElseThrow();
    if (avoided < names.size()) {
      assertThat(stats.get(chosen).isAvoided(now), is(false));
    }
  }

  @Test
  void testChoose_excludesASlowUpstream() {
    long now = 0;
    Map<String, UpstreamStats> stats = new HashMap<>();
    for (String name : List.of("a", "b", "c")) {
      stats.put(name, UpstreamStats.of(now).withSuccess(10).withStarted());
    }
    stats.put("slow", UpstreamStats.of(now).withSuccess(200).withStarted());
    for (int i = 0; i < 50; i++) {
      String key = "prefix" + i;
      assertThat(
          UpstreamChooser.choose(stats.keySet(), stats, key, now).orElseThrow(), is(not("slow")));
    }
  }

  @Test
  void testChoose_keepsPrefixAffinityUntilTheUpstreamIsLoaded() {
    long now = 0;
    Map<String, UpstreamStats> stats = new HashMap<>();
    List<String> names = List.of("a", "b", "c");
    names.forEach(name -> stats.put(name, UpstreamStats.of(now)));
    String preferred = UpstreamChooser.choose(names, stats, "prefix", now).orElseThrow();
    int kept = 0;
    while (UpstreamChooser.choose(names, stats, "prefix", now).orElseThrow().equals(preferred)) {
      stats.computeIfPresent(preferred, (n, s) -> s.withStarted());
      kept++;
    }
    assertThat(kept > 1 && kept < 10, is(true));
  }
}
