package org.shoreroad.member;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.shoreroad.routing.Rendezvous;

/**
 * Topology of the heartbeats: a full mesh in a small system, hubs in a large one.
 *
 * <p>In a full mesh each process sends heartbeats to all others, so the number of messages per
 * process grows with the system. In a large system some processes of each availability zone are
 * hubs, and each other process is a member of one hub. A hub sends the state of its members to the
 * other hubs, and the state of all other processes to its members. This costs two more hops, but
 * the number of messages of a member does not depend on the size of the system. Each process
 * computes the same hubs from the same names, without communication. This class is immutable and
 * thread-safe.
 *
 * @since 0.2
 */
public final class HubPlan {
  /** Maximum number of processes in a full mesh: up to here messages cost less than two hops. */
  private static final int FULL_MESH_LIMIT = 12;

  /** Minimum number of hubs per zone, so that a zone can lose one at any time. */
  private static final int MIN_HUBS_PER_ZONE = 2;

  private static final String RANK_KEY = "hub";

  private final boolean isFullMesh;
  private final boolean isHub;
  private final Set<String> hubs;
  private final @Nullable String ownHub;

  private HubPlan(boolean isFullMesh, boolean isHub, Set<String> hubs, @Nullable String ownHub) {
    this.isFullMesh = isFullMesh;
    this.isHub = isHub;
    this.hubs = Set.copyOf(hubs);
    this.ownHub = ownHub;
  }

  /**
   * Returns the plan from the view of one process.
   *
   * @param self this process, not null
   * @param others the other processes that can receive heartbeats, not null
   */
  public static HubPlan of(ProcessLocation self, Collection<ProcessLocation> others) {
    if (others.size() < FULL_MESH_LIMIT) {
      return new HubPlan(true, false, Set.of(), null);
    }
    Map<String, Set<String>> namesByZone = new TreeMap<>();
    namesByZone.computeIfAbsent(self.zone(), zone -> new TreeSet<>()).add(self.name());
    others.forEach(
        other ->
            namesByZone.computeIfAbsent(other.zone(), zone -> new TreeSet<>()).add(other.name()));
    // With as many hubs as members per hub, the larger number of messages per process is minimal.
    double totalHubs = Math.sqrt(others.size() + 1.0);
    int hubsPerZone = Math.max(MIN_HUBS_PER_ZONE, (int) Math.ceil(totalHubs / namesByZone.size()));
    Set<String> hubs = new HashSet<>();
    Set<String> zoneHubs = new HashSet<>();
    namesByZone.forEach(
        (zone, names) -> {
          Set<String> chosen = new HashSet<>(rank(names).subList(0, atMost(hubsPerZone, names)));
          hubs.addAll(chosen);
          if (zone.equals(self.zone())) {
            zoneHubs.addAll(chosen);
          }
        });
    boolean isHub = hubs.remove(self.name());
    String ownHub =
        isHub ? null : Rendezvous.choose(self.name(), zoneHubs, name -> name).orElseThrow();
    return new HubPlan(false, isHub, hubs, ownHub);
  }

  private static List<String> rank(Set<String> names) {
    return Rendezvous.rank(RANK_KEY, names, name -> name);
  }

  private static int atMost(int count, Set<String> names) {
    return Math.min(count, names.size());
  }

  /** Returns true if every process sends heartbeats to all others. */
  public boolean isFullMesh() {
    return isFullMesh;
  }

  /** Returns true if this process is a hub. */
  public boolean isHub() {
    return isHub;
  }

  /** Returns the names of the hubs other than this process. */
  public Set<String> hubs() {
    return hubs;
  }

  /** Returns the name of the hub of this process, or null for a hub and in a full mesh. */
  public @Nullable String ownHub() {
    return ownHub;
  }

  /**
   * A process and its availability zone.
   *
   * @param name the name of the incarnation of the process, not null
   * @param zone the availability zone, not null
   */
  public record ProcessLocation(String name, String zone) {
    /** Checks that no component is null. */
    public ProcessLocation {
      Objects.requireNonNull(name, "name");
      Objects.requireNonNull(zone, "zone");
    }

    // Explicit, since the generated methods are method handles, whose first use in a process costs
    // 20 to 40 ms of processor time.

    @Override
    public boolean equals(@Nullable Object other) {
      return other instanceof ProcessLocation location
          && name.equals(location.name)
          && zone.equals(location.zone);
    }

    @Override
    public int hashCode() {
      return 31 * name.hashCode() + zone.hashCode();
    }
  }
}
