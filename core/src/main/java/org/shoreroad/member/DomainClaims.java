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
 * Decides which fabric domains this process claims, and which it hands on.
 *
 * <p>Ownership is sticky: a domain that any process keeps is left to it, whoever comes or goes.
 * Each change of owner costs its domain most of a second without orders and a question to every
 * box, so dealing all domains out anew with each process that joins or leaves left 25 domains of 37
 * boxes with a fifth of their boxes serving at the start of traffic (95 processes, one run).
 *
 * <p>Processes do not vote. Each waits the longer before a claim, the lower it ranks for the domain
 * by rendezvous hashing and the more domains it keeps, so that one mostly claims alone; where two
 * do, the store gives the domain to one of them. This class only decides; used by one thread.
 */
public final class DomainClaims {
  /**
   * A domain is claimed when no process has told for this long that it keeps it: three heartbeats
   * at 200 ms, which is what a claim takes to reach everybody over two hubs.
   */
  static final long UNKEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** The wait for each process that ranks higher: its claim is heard of within this time. */
  static final long RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** However many of the processes ahead are dead, the wait for them ends. */
  static final long MAX_RANK_NANOS = TimeUnit.MILLISECONDS.toNanos(2_400);

  /** The wait for each domain that this process keeps, so that an idle process comes first. */
  static final long KEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A process that keeps much still claims in time if it is the only one. */
  static final long MAX_KEPT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Between two domains handed on: the receiver has formed its view of the first by then. */
  static final long HAND_ON_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final String self;
  private final Map<String, Long> unkeptSinceNanos = new HashMap<>();
  private final Map<String, Long> notBeforeNanos = new HashMap<>();
  private final Map<String, Integer> ranks = new HashMap<>();
  private Set<String> rankedProcesses = Set.of();
  private long handedOnNanos = Long.MIN_VALUE / 2;

  /**
   * Creates an instance that has claimed nothing.
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
   * @param keptElsewhere the domains that other processes say they keep, not null
   * @param own the domains that this process keeps or has claimed, not null
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
      // Ranking costs a hash for each process, so it is left until it can matter.
      if (forNanos >= UNKEPT_NANOS
          && forNanos >= waitNanos(domain, own.size() + due.size())
          && !notBeforeNanos.containsKey(domain)) {
        due.add(domain);
      }
    }
    return due;
  }

  /** Leaves the domain alone until a time: another process turned out to hold it in the store. */
  public void postpone(String domain, long untilNanos) {
    notBeforeNanos.put(domain, untilNanos);
  }

  /**
   * Returns a domain to give up, so that processes with fewer take it; empty while this process has
   * at most one more than its even share.
   *
   * @param nowNanos the steady clock
   * @param kept the domains that this process keeps, not null
   * @param domainCount how many domains there are
   * @param processCount how many processes are alive, this one among them; positive
   */
  public Optional<String> toHandOn(
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
