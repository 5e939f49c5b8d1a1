package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;

/** Tests of the leases of many processes in one store with a fake clock. */
class DomainLeasesTest {
  private static final int STEP_MS = 50;

  /** Heartbeats reach the other processes over two hubs, each with an interval of 200 ms. */
  private static final int LAG_STEPS = 8;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private final FakeGroups store = new FakeGroups(() -> nowNanos);
  private final Set<String> domains = new TreeSet<>();
  private final Map<String, DomainLeases> processes = new HashMap<>();
  private final Set<String> dead = new HashSet<>();
  private final Set<String> withoutHeartbeats = new HashSet<>();
  private final List<Map<String, Set<String>>> heartbeatHistory = new ArrayList<>();

  private void createDomains(int count) {
    for (int i = 0; i < count; i++) {
      domains.add("llm/d" + i);
    }
  }

  private void startProcess(String name) {
    DomainLeases leases =
        new DomainLeases(
            store, channel.eventLoop(), () -> nowNanos, log, name, new Peers(name), () -> domains);
    processes.put(name, leases);
    leases.start();
  }

  private void startProcesses(int count) {
    for (int i = 0; i < count; i++) {
      startProcess("p" + i);
    }
  }

  /** View of one process of the others, delayed by {@link #LAG_STEPS}. */
  private final class Peers implements DomainLeases.Peers {
    private final String self;

    Peers(String self) {
      this.self = self;
    }

    @Override
    public @Nullable Set<String> ownedDomains() {
      if (withoutHeartbeats.contains(self)) {
        return null;
      }
      Set<String> owned = new HashSet<>();
      if (heartbeatHistory.size() > LAG_STEPS) {
        heartbeatHistory
            .get(heartbeatHistory.size() - LAG_STEPS)
            .forEach((name, domains) -> owned.addAll(name.equals(self) ? Set.of() : domains));
      }
      return owned;
    }

    @Override
    public Set<String> names() {
      Set<String> names = new HashSet<>(processes.keySet());
      names.remove(self);
      return names;
    }

    @Override
    public int aliveCount() {
      return processes.size() - dead.size();
    }
  }

  private void advance(int millis) {
    for (int passed = 0; passed < millis; passed += STEP_MS) {
      Map<String, Set<String>> now = new HashMap<>();
      processes.forEach(
          (name, leases) ->
              now.put(name, dead.contains(name) ? Set.of() : leases.grantedDomains()));
      heartbeatHistory.add(now);
      long nanos = TimeUnit.MILLISECONDS.toNanos(STEP_MS);
      nowNanos += nanos;
      channel.advanceTimeBy(nanos, TimeUnit.NANOSECONDS);
      channel.runScheduledPendingTasks();
      assertNoDomainHasTwoHolders();
    }
  }

  private void assertNoDomainHasTwoHolders() {
    for (String domain : domains) {
      assertThat(holdersOf(domain).size(), lessThanOrEqualTo(1));
    }
  }

  private List<String> holdersOf(String domain) {
    return processes.keySet().stream().filter(name -> processes.get(name).holds(domain)).toList();
  }

  /** Returns the holder of each domain that has one. */
  private Map<String, String> owners() {
    Map<String, String> owners = new HashMap<>();
    domains.forEach(domain -> holdersOf(domain).forEach(name -> owners.put(domain, name)));
    return owners;
  }

  private void kill(String name) {
    dead.add(name);
    store.disconnect(name);
  }

  @Test
  void eachDomainHasOneOwnerSoonAfterTheStart() {
    createDomains(25);
    startProcesses(95);
    advance(6_000);
    Map<String, String> owners = owners();
    assertThat(owners.size(), is(25));
    owners
        .values()
        .forEach(
            name -> assertThat(processes.get(name).grantedDomains().size(), lessThanOrEqualTo(2)));
  }

  @Test
  void fewProcessesOwnAllDomains() {
    createDomains(25);
    startProcesses(3);
    advance(10_000);
    assertThat(owners().size(), is(25));
  }

  @Test
  void addedProcessesChangeNoOwner() {
    createDomains(25);
    startProcesses(30);
    advance(8_000);
    Map<String, String> before = owners();
    for (int i = 30; i < 60; i++) {
      startProcess("p" + i);
      advance(300);
    }
    advance(5_000);
    assertThat(owners(), is(before));
  }

  @Test
  void lossMovesOnlyTheDomainsOfTheDeadProcess() {
    createDomains(25);
    startProcesses(30);
    advance(8_000);
    Map<String, String> before = owners();
    String lost = before.get("llm/d0");
    kill(lost);
    advance(6_000);
    Map<String, String> after = owners();
    assertThat(after.size(), is(25));
    before.forEach(
        (domain, owner) -> {
          if (!owner.equals(lost)) {
            assertThat(after.get(domain), is(owner));
          }
        });
  }

  @Test
  void leavingProcessIsReplacedBeforeItsLeaseWouldExpire() {
    createDomains(1);
    startProcesses(4);
    advance(4_000);
    String first = owners().get("llm/d0");
    processes.get(first).leave();
    dead.add(first);
    advance(2_800);
    assertThat(owners().size(), is(1));
  }

  @Test
  void processPartitionedFromTheStoreStopsBeforeItsSuccessorStarts() {
    createDomains(6);
    startProcesses(7);
    advance(8_000);
    // Heartbeats between the process and the others still arrive.
    store.disconnect(owners().get("llm/d3"));
    advance(8_000);
    assertThat(owners().size(), is(6));
  }

  @Test
  void processWithoutHeartbeatsClaimsNothingAndReadsRarely() {
    createDomains(25);
    startProcesses(10);
    advance(8_000);
    Map<String, String> before = owners();
    withoutHeartbeats.add("p3");
    advance(6_000);
    int readsBefore = store.ownerCount();
    advance(10_000);
    assertThat(owners(), is(before));
    // At most one read for each of the 25 domains every two seconds.
    assertThat(store.ownerCount() - readsBefore, lessThanOrEqualTo(25 * 6));
  }

  @Test
  void renewalsScaleWithDomainsNotWithProcesses() {
    createDomains(25);
    startProcesses(95);
    advance(8_000);
    int before = store.joinCount();
    advance(10_000);
    // Two renewals per second for each domain.
    assertThat(store.joinCount() - before, lessThanOrEqualTo(25 * 21));
  }
}
