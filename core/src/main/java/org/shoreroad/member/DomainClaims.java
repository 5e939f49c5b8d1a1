package org.shoreroad.member;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.routing.Rendezvous;

/**
 * Decides which fabric domains this process claims and which it releases.
 *
 * <p>Ownership is sticky: a process that joins or leaves does not change the owner of a domain that
 * another live process owns. Each change of owner costs the domain 0.6 s without orders and one
 * report request to every box. Reassigning all domains on each membership change left a fifth of
 * 925 boxes serving at the start of traffic (95 processes, 25 domains).
 *
 * <p>There is no vote. The delay before a claim grows with the rank of this process for the domain
 * (rendezvous hashing) and with the number of domains it owns, so usually one process claims. When
 * two claim at once, the store assigns the domain to one of them. This class performs no input or
 * output. Not thread-safe.
 */
public final class DomainClaims {
  /**
   * Minimum time without an owner in any heartbeat before a claim: three heartbeats of 200 ms, the
   * propagation time over two hubs. Nanoseconds.
   */
  static final long UNOWNED_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Additional delay per process with a higher rank, so that its claim is seen first. */
  static final long PER_RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Maximum delay by rank, for the case that all processes with a higher rank are dead. */
  static final long MAX_RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);

  /** Additional delay per domain already owned, so that idle processes claim first. */
  static final long PER_OWNED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Maximum delay by owned domains, for the case that this process is the only one. */
  static final long MAX_OWNED_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Minimum interval between two released domains; a new owner needs about 1 s per domain. */
  static final long RELEASE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final String self;
  private final Map<String, Long> unownedSinceNanos = new HashMap<>();
  private final Map<String, Long> notBeforeNanos = new HashMap<>();
  private final Map<String, Integer> ranks = new HashMap<>();
  private Set<String> rankedProcesses = Set.of();
  private long lastReleasedNanos = Long.MIN_VALUE / 2;

  /**
   * Creates an instance without claims.
   *
   * @param self the name of this incarnation of the process, not null
   */
  public DomainClaims(String self) {
    this.self = self;
  }

  /**
   * Returns the domains to claim now.
   *
   * @param nowNanos the steady clock
   * @param domains all fabric domains, not null
   * @param ownedByOthers the domains that other processes own according to heartbeats, not null
   * @param own the domains that this process owns or has claimed, not null
   * @param processes the names of the other known processes, not null
   */
  public Set<String> due(
      long nowNanos,
      Set<String> domains,
      Set<String> ownedByOthers,
      Set<String> own,
      Collection<String> processes) {
    rankAmong(processes);
    unownedSinceNanos.keySet().retainAll(domains);
    notBeforeNanos.values().removeIf(nanos -> nanos <= nowNanos);
    Set<String> due = new HashSet<>();
    for (String domain : domains) {
      if (own.contains(domain) || ownedByOthers.contains(domain)) {
        unownedSinceNanos.remove(domain);
        continue;
      }
      long sinceNanos = unownedSinceNanos.computeIfAbsent(domain, name -> nowNanos);
      long unownedNanos = nowNanos - sinceNanos;
      // The rank costs one hash per process, so it is computed only after the minimum delay.
      if (unownedNanos >= UNOWNED_NANOS
          && unownedNanos >= delayNanos(domain, own.size() + due.size())
          && !notBeforeNanos.containsKey(domain)) {
        due.add(domain);
      }
    }
    return due;
  }

  /** Suppresses claims of the domain until the given time. */
  public void postpone(String domain, long untilNanos) {
    notBeforeNanos.put(domain, untilNanos);
  }

  /**
   * Returns a domain to release, so that another process claims it, or empty while this process
   * owns at most one domain more than its even share.
   *
   * @param nowNanos the steady clock
   * @param owned the domains that this process owns, not null
   * @param domainCount the number of domains
   * @param processCount the number of alive processes including this one; positive
   */
  public Optional<String> surplusDomain(
      long nowNanos, Set<String> owned, int domainCount, int processCount) {
    int evenShare = (domainCount + processCount - 1) / processCount;
    if (owned.size() <= evenShare + 1 || nowNanos - lastReleasedNanos < RELEASE_INTERVAL_NANOS) {
      return Optional.empty();
    }
    lastReleasedNanos = nowNanos;
    Optional<String> domain = owned.stream().sorted().findFirst();
    domain.ifPresent(name -> postpone(name, nowNanos + RELEASE_INTERVAL_NANOS));
    return domain;
  }

  private long delayNanos(String domain, int ownCount) {
    int rank =
        ranks.computeIfAbsent(domain, key -> Rendezvous.positionOf(self, key, rankedProcesses));
    return UNOWNED_NANOS
        + Math.min(MAX_RANK_NANOS, rank * PER_RANK_NANOS)
        + Math.min(MAX_OWNED_NANOS, ownCount * PER_OWNED_NANOS);
  }

  private void rankAmong(Collection<String> processes) {
    Set<String> all = new HashSet<>(processes);
    all.add(self);
    if (!all.equals(rankedProcesses)) {
      rankedProcesses = Set.copyOf(all);
      ranks.clear();
    }
  }
}
