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
 * Decides which fabric domains this process claims and which it gives up.
 *
 * <p>Ownership is sticky: a process that joins or leaves does not change the owner of a domain that
 * another live process owns. Each change of owner costs the domain 0.6 s without orders and one
 * report request to every box. Reassigning all domains on each membership change left a fifth of
 * 925 boxes serving at the start of traffic (95 processes, 25 domains, one run).
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
  static final long UNKEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Additional delay for each process with a higher rank, so that its claim is seen first. */
  static final long RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Maximum delay by rank, for the case that all processes with a higher rank are dead. */
  static final long MAX_RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);

  /** Additional delay for each domain already owned, so that idle processes claim first. */
  static final long KEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Maximum delay by owned domains, for the case that this process is the only one. */
  static final long MAX_KEPT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Minimum interval between two domains given up; the new owner needs about a second for one. */
  static final long HAND_ON_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final String self;
  private final Map<String, Long> unkeptSinceNanos = new HashMap<>();
  private final Map<String, Long> notBeforeNanos = new HashMap<>();
  private final Map<String, Integer> ranks = new HashMap<>();
  private Set<String> rankedProcesses = Set.of();
  private long handedOnNanos = Long.MIN_VALUE / 2;

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
   * @param keptElsewhere the domains that other processes own according to heartbeats, not null
   * @param own the domains that this process owns or has claimed, not null
   * @param processes the names of the other processes known, not null
   */
  public Set<String> due(
      long nowNanos,
      Set<String> domains,
      Set<String> keptElsewhere,
      Set<String> own,
      Collection<String> processes) {
    rankAmong(processes);
    unkeptSinceNanos.keySet().retainAll(domains);
    notBeforeNanos.values().removeIf(nanos -> nanos <= nowNanos);
    Set<String> due = new HashSet<>();
    for (String domain : domains) {
      if (own.contains(domain) || keptElsewhere.contains(domain)) {
        unkeptSinceNanos.remove(domain);
        continue;
      }
      long sinceNanos = unkeptSinceNanos.computeIfAbsent(domain, name -> nowNanos);
      long forNanos = nowNanos - sinceNanos;
      // The rank costs one hash per process, so it is computed only after the minimum delay.
      if (forNanos >= UNKEPT_NANOS
          && forNanos >= waitNanos(domain, own.size() + due.size())
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
   * Returns a domain to give up for another process to claim, or empty while this process owns at
   * most one domain more than its even share.
   *
   * @param nowNanos the steady clock
   * @param kept the domains that this process owns, not null
   * @param domainCount how many domains there are
   * @param processCount how many processes are alive, this one among them; positive
   */
  public Optional<String> surplusDomain(
      long nowNanos, Set<String> kept, int domainCount, int processCount) {
    int evenShare = (domainCount + processCount - 1) / processCount;
    if (kept.size() <= evenShare + 1 || nowNanos - handedOnNanos < HAND_ON_NANOS) {
      return Optional.empty();
    }
    handedOnNanos = nowNanos;
    Optional<String> domain = kept.stream().sorted().findFirst();
    domain.ifPresent(name -> postpone(name, nowNanos + HAND_ON_NANOS));
    return domain;
  }

  private long waitNanos(String domain, int ownCount) {
    int rank = ranks.computeIfAbsent(domain, key -> Rendezvous.placeOf(self, key, rankedProcesses));
    return UNKEPT_NANOS
        + Math.min(MAX_RANK_NANOS, rank * RANK_NANOS)
        + Math.min(MAX_KEPT_NANOS, ownCount * KEPT_NANOS);
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
