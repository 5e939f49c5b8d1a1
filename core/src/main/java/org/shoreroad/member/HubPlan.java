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
 * Who tells whom in a system of many processes.
 *
 * <p>A few processes tell each other everything at once. Where there are many, that would cost each
 * of them a message to each other one; so some of every availability zone are hubs. A hub tells the
 * other hubs what its members told it, and its members what it heard from all others: two hops
 * more, and the messages of a member no longer grow with the system. Every process derives the same
 * hubs from the same names, without a word or a vote. This class is immutable and thread-safe.
 *
 * @since 0.2
 */
public final class HubPlan {
  /**
   * Up to this many processes each tells all others: their messages cost less than the two hops.
   */
  private static final int FULL_MESH_LIMIT = 12;

  /** One hub of a zone may be lost at any time. */
  private static final int LEAST_HUBS_PER_ZONE = 2;

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
   * Returns the plan as one process sees it.
   *
   * @param self this process, not null
   * @param others the other processes that can be told anything, not null
   * @return the plan
   */
  public static HubPlan of(ProcessLocation self, Collection<ProcessLocation> others) {
    if (others.size() < FULL_MESH_LIMIT) {
      return new HubPlan(true, false, Set.of(), null);
    }
    Map<String, Set<String>> namesByZone = new TreeMap<>();
    namesByZone.computeIfAbsent(self.zone(), zone -> new TreeSet<>()).add(self.name());
    others.forEach(
        place ->
            namesByZone.computeIfAbsent(place.zone(), zone -> new TreeSet<>()).add(place.name()));
    // As many hubs as members of each hub: then neither has more messages than need be.
    double hubsInAll = Math.sqrt(others.size() + 1.0);
    int hubsPerZone =
        Math.max(LEAST_HUBS_PER_ZONE, (int) Math.ceil(hubsInAll / namesByZone.size()));
    Set<String> hubs = new HashSet<>();
    Set<String> nearHubs = new HashSet<>();
    namesByZone.forEach(
        (zone, names) -> {
          Set<String> chosen = new HashSet<>(rank(names).subList(0, least(hubsPerZone, names)));
          hubs.addAll(chosen);
          if (zone.equals(self.zone())) {
            nearHubs.addAll(chosen);
          }
        });
    boolean isHub = hubs.remove(self.name());
    String ownHub =
        isHub ? null : Rendezvous.choose(self.name(), nearHubs, name -> name).orElseThrow();
    return new HubPlan(false, isHub, hubs, ownHub);
  }

  private static List<String> rank(Set<String> names) {
    return Rendezvous.rank(RANK_KEY, names, name -> name);
  }

  private static int least(int count, Set<String> names) {
    return Math.min(count, names.size());
  }

  /** Returns true if every process tells all others. */
  public boolean isFullMesh() {
    return isFullMesh;
  }

  /** Returns true if this process is a hub. */
  public boolean isHub() {
    return isHub;
  }

  /** Returns the names of the hubs, without this process. */
  public Set<String> hubs() {
    return hubs;
  }

  /** Returns the name of the hub that this process tells, or null for a hub and in a full mesh. */
  public @Nullable String ownHub() {
    return ownHub;
  }

  /**
   * Where a process stands.
   *
   * @param name the name of its incarnation, not null
   * @param zone its availability zone, not null
   */
  public record ProcessLocation(String name, String zone) {
    /** Checks that both are there. */
    public ProcessLocation {
      Objects.requireNonNull(name, "name");
      Objects.requireNonNull(zone, "zone");
    }

    // Written out: the generated methods are method handles, which cost 20 to 40 ms of processor
    // time at their first use in a process.

    @Override
    public boolean equals(@Nullable Object other) {
      return other instanceof ProcessLocation place && name.equals(place.name) && zone.equals(place.zone);
    }

    @Override
    public int hashCode() {
      return 31 * name.hashCode() + zone.hashCode();
    }
  }
}
