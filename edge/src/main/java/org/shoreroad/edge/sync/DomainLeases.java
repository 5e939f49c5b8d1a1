package org.shoreroad.edge.sync;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.member.DomainClaims;

/**
 * Leases of the fabric domains that this process owns: claims domains without an owner and releases
 * domains that another process owns.
 *
 * <p>Heartbeats carry the domains that each process owns. A claim is preceded by a read of the
 * owner from the store, so a process that is partitioned from the others but not from the store
 * does not displace an owner. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class DomainLeases {
  /** Interval of the ownership check, the same as that of heartbeats. */
  private static final int TICK_MS = 200;

  /** Delay after the start before the first claim, for the discovery of the other processes. */
  private static final long START_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  /**
   * Delay before claims while no heartbeat arrives, so that the loss of a hub is not mistaken for
   * the loss of all processes. A hub is replaced within 2.4 s.
   */
  private static final long NO_HEARTBEAT_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Delay before the next claim of a domain that has an owner in the store. */
  private static final long OWNED_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** The same delay while no heartbeat arrives, when this process is most likely partitioned. */
  private static final long OWNED_NO_HEARTBEAT_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Timeout of a claim that the store does not grant: twice the time to live. */
  private static final long UNGRANTED_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final LeaseStore store;
  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final String member;
  private final Peers peers;
  private final Supplier<Set<String>> domains;
  private final DomainClaims claims;
  private final Map<String, DomainLease> leases = new HashMap<>();
  private final Map<String, FormationNumbers> formationNumbers = new HashMap<>();
  private final Set<String> beingChecked = new HashSet<>();
  private Set<String> notifiedDomains = Set.of();
  private Runnable changeListener = () -> {};
  private Predicate<String> canServe = domain -> true;
  private long startedNanos;
  private long lastHeartbeatNanos;
  private long formerLeasesEndNanos = Long.MIN_VALUE / 2;
  private boolean hasHeartbeats;
  private boolean isLeaving;

  /**
   * Creates an instance without leases.
   *
   * @param member the name of this incarnation of the process, not null
   * @param peers the view of the other processes, not null
   * @param domains supplies the keys of all fabric domains, not null
   */
  public DomainLeases(
      LeaseStore store,
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      String member,
      Peers peers,
      Supplier<Set<String>> domains) {
    this.store = store;
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.log = log;
    this.member = member;
    this.peers = peers;
    this.domains = domains;
    this.claims = new DomainClaims(member);
  }

  /** View of the other processes. */
  public interface Peers {
    /**
     * Returns the domains that the other processes own according to their heartbeats, or null while
     * no heartbeat arrives.
     */
    @Nullable Set<String> ownedDomains();

    /** Returns the names of all known processes, alive or not. */
    Collection<String> names();

    /** Returns the number of processes that are alive, including this one. */
    int aliveCount();
  }

  /** Sets the listener for changes of the domains owned by this process. */
  public void setChangeListener(Runnable listener) {
    changeListener = listener;
  }

  /**
   * Sets the condition for owning a domain: this process can reach its boxes. A domain that it
   * can't reach is released, so that another process takes it over.
   *
   * @param condition called with the key of a domain, not null
   */
  public void setCondition(Predicate<String> condition) {
    canServe = condition;
  }

  /** Starts the periodic ownership check. */
  public void start() {
    startedNanos = clockNanos.getAsLong();
    lastHeartbeatNanos = startedNanos;
    new RepeatingTimer(loop, log).every(TICK_MS, "domain leases", this::tick);
  }

  /** Records that the store was restored from an older copy. */
  public void noteEra() {
    formerLeasesEndNanos = DomainLease.endOfLeases(clockNanos.getAsLong());
    leases.values().forEach(lease -> lease.noteEra(formerLeasesEndNanos));
  }

  /** Releases all domains, so that other processes can claim them, and stops claiming. */
  public void leave() {
    isLeaving = true;
    leases.values().forEach(DomainLease::leave);
    leases.clear();
    notifyIfChanged();
  }

  /** Returns the domains that the store has assigned to this process. */
  public Set<String> grantedDomains() {
    Set<String> granted = new HashSet<>();
    leases.forEach(
        (domain, lease) -> {
          if (lease.isGranted()) {
            granted.add(domain);
          }
        });
    return granted;
  }

  /** Returns the domains for which this process may send orders now. */
  public Set<String> heldDomains() {
    Set<String> held = new HashSet<>();
    leases.forEach(
        (domain, lease) -> {
          if (lease.isHeld()) {
            held.add(domain);
          }
        });
    return held;
  }

  /** Returns true if the store has assigned at least one domain to this process. */
  public boolean hasGrantedDomains() {
    return leases.values().stream().anyMatch(DomainLease::isGranted);
  }

  /** Returns true if this process may send orders for the domain now. */
  public boolean holds(String domain) {
    DomainLease lease = leases.get(domain);
    return lease != null && lease.isHeld();
  }

  /** Returns the fencing number of orders sent now for a domain that is held. */
  public long fencingNumber(String domain) {
    return leaseOf(domain).fencingNumber();
  }

  /** Returns a number higher than that of any earlier formation in a domain that is held. */
  public long nextEpoch(String domain) {
    return leaseOf(domain).nextEpoch();
  }

  private DomainLease leaseOf(String domain) {
    return Objects.requireNonNull(leases.get(domain), domain);
  }

  private void tick() {
    long nowNanos = clockNanos.getAsLong();
    if (isLeaving || nowNanos - startedNanos < START_NANOS) {
      return;
    }
    Set<String> othersDomains = peers.ownedDomains();
    hasHeartbeats = othersDomains != null;
    lastHeartbeatNanos = hasHeartbeats ? nowNanos : lastHeartbeatNanos;
    Set<String> ownedElsewhere = othersDomains == null ? Set.of() : othersDomains;
    releaseLost(ownedElsewhere);
    for (String domain : Set.copyOf(leases.keySet())) {
      if (!canServe.test(domain)) {
        releaseDomain(domain);
      }
    }
    if (hasHeartbeats || nowNanos - lastHeartbeatNanos > NO_HEARTBEAT_NANOS) {
      Set<String> all = domains.get();
      claims.due(nowNanos, all, ownedElsewhere, leases.keySet(), peers.names()).stream()
          .filter(canServe)
          .forEach(this::checkThenClaim);
      claims
          .surplusDomain(nowNanos, grantedDomains(), all.size(), peers.aliveCount())
          .ifPresent(this::releaseDomain);
    }
    notifyIfChanged();
  }

  /** Leaves the groups of domains that another process owns. */
  private void releaseLost(Set<String> ownedElsewhere) {
    leases
        .entrySet()
        .removeIf(
            entry -> {
              DomainLease lease = entry.getValue();
              boolean isUngranted =
                  !lease.isGranted()
                      && (ownedElsewhere.contains(entry.getKey())
                          || lease.claimAgeNanos() > UNGRANTED_NANOS);
              if (lease.isLost() || isUngranted) {
                lease.leave();
                return true;
              }
              return false;
            });
  }

  private void releaseDomain(String domain) {
    log.write("domain_handed_on", "domain", domain);
    leaseOf(domain).leave();
    leases.remove(domain);
  }

  private void checkThenClaim(String domain) {
    if (!beingChecked.add(domain)) {
      return;
    }
    store.owner(
        domain,
        new StoreCallback<>() {
          @Override
          public void onValue(String owner) {
            beingChecked.remove(domain);
            if (owner.isEmpty() || owner.equals(member)) {
              claim(domain);
            } else {
              postpone(domain);
            }
          }

          @Override
          public void onFault(StoreFault fault) {
            beingChecked.remove(domain);
            log.write("domain_owner_unknown", "domain", domain, "why", fault);
            postpone(domain);
          }
        });
  }

  private void postpone(String domain) {
    long forNanos = hasHeartbeats ? OWNED_RETRY_NANOS : OWNED_NO_HEARTBEAT_RETRY_NANOS;
    claims.postpone(domain, clockNanos.getAsLong() + forNanos);
  }

  private void claim(String domain) {
    if (isLeaving || leases.containsKey(domain) || !canServe.test(domain)) {
      return;
    }
    DomainLease lease =
        new DomainLease(
            store,
            loop,
            clockNanos,
            log,
            member,
            domain,
            formationNumbers.computeIfAbsent(domain, added -> new FormationNumbers()),
            formerLeasesEndNanos);
    leases.put(domain, lease);
    lease.claim();
    notifyIfChanged();
  }

  private void notifyIfChanged() {
    Set<String> granted = grantedDomains();
    if (!granted.equals(notifiedDomains)) {
      notifiedDomains = granted;
      changeListener.run();
    }
  }
}
