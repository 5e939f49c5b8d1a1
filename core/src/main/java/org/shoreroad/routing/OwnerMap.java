package org.shoreroad.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.shoreroad.state.Generation;
import org.shoreroad.state.Node;

/**
 * Assignment of generations to the processes that own them.
 *
 * <p>A generation is assigned to a live process of its own availability zone, or of any zone if its
 * own has none, by rendezvous hashing with bounded loads: no process owns more than 1.25 times the
 * mean of its zone, rounded up.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @since 0.1
 */
public final class OwnerMap {
  /** Map without owners. */
  public static final OwnerMap EMPTY = new OwnerMap(Map.of());

  private static final double LOAD_BOUND = 1.25;

  private final Map<Long, Node> ownerByGeneration;

  private OwnerMap(Map<Long, Node> ownerByGeneration) {
    this.ownerByGeneration = Map.copyOf(ownerByGeneration);
  }

  /**
   * Creates the map for the given generations and processes.
   *
   * @param generations the generations, not null
   * @param alive the live processes, not null
   * @return the map; empty if no process is alive
   */
  public static OwnerMap of(Collection<Generation> generations, Collection<Node> alive) {
    if (alive.isEmpty()) {
      return EMPTY;
    }
    Map<String, List<Node>> nodesByZone =
        alive.stream().collect(Collectors.groupingBy(Node::availabilityZone));
    Map<String, List<Generation>> generationsByZone =
        generations.stream()
            .collect(Collectors.groupingBy(g -> homeZone(g, nodesByZone), Collectors.toList()));
    Map<Long, Node> owners = new HashMap<>();
    generationsByZone.forEach(
        (zone, list) -> {
          List<Node> nodes = nodesByZone.getOrDefault(zone, List.copyOf(alive));
          assign(list, nodes, owners);
        });
    return new OwnerMap(owners);
  }

  /** Returns the owner of the generation, or empty if it has none. */
  public Optional<Node> owner(long generation) {
    return Optional.ofNullable(ownerByGeneration.get(generation));
  }

  /** Returns the numbers of the generations that the process owns, ascending. */
  public List<Long> ownedBy(String nodeId) {
    return ownerByGeneration.entrySet().stream()
        .filter(e -> e.getValue().id().equals(nodeId))
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  private static String homeZone(Generation g, Map<String, List<Node>> nodesByZone) {
    String zone = g.head().availabilityZone();
    return nodesByZone.containsKey(zone) ? zone : "";
  }

  private static void assign(
      List<Generation> generations, List<Node> nodes, Map<Long, Node> owners) {
    int bound = (int) Math.ceil(LOAD_BOUND * generations.size() / nodes.size());
    Map<String, Integer> load = new HashMap<>();
    List<Generation> ordered =
        generations.stream()
            .sorted(java.util.Comparator.comparingLong(Generation::number))
            .toList();
    for (Generation generation : ordered) {
      for (Node node : Rendezvous.rank("owner/" + generation.number(), nodes, Node::id)) {
        if (load.getOrDefault(node.id(), 0) < bound) {
          load.merge(node.id(), 1, Integer::sum);
          owners.put(generation.number(), node);
          break;
        }
      }
    }
  }
}
