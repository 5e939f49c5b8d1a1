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

/** The leases of many processes over one store, with a clock that the test turns. */
class DomainLeasesTest {
  private static final int STEP_MS = 50;

  /** What a process tells reaches the others over two hubs, each with heartbeats 200 ms apart. */
  private static final int LAG_STEPS = 8;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private final FakeGroups store = new FakeGroups(() -> nowNanos);
  private final Set<String> domains = new TreeSet<>();
  private final Map<String, DomainLeases> processes = new HashMap<>();
  private final Set<String> dead = new HashSet<>();
  private final Set<String> deaf = new HashSet<>();
  private final List<Map<String, Set<String>>> told = new ArrayList<>();

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

  /** What one process has heard of the others, a while ago. */
  private final class Peers implements DomainLeases.Peers {
    private final String self;

    Peers(String self) {
      this.self = self;
    }

    @Override
    public @Nullable Set<String> ownedDomains() {
      if (deaf.contains(self)) {
        return null;
      }
      Set<String> kept = new HashSet<>();
      if (told.size() > LAG_STEPS) {
        told.get(told.size() - LAG_STEPS)
            .forEach((name, domains) -> kept.addAll(name.equals(self) ? Set.of() : domains));
      }
      return kept;
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

  private void run(int millis) {
    for (int passed = 0; passed < millis; passed += STEP_MS) {
      Map<String, Set<String>> now = new HashMap<>();
      processes.forEach(
          (name, leases) -> now.put(name, dead.contains(name) ? Set.of() : leases.grantedDomains()));
      told.add(now);
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
  void eachOfManyDomainsHasOneOwnerSoonAfterTheStart() {
    createDomains(25);
    startProcesses(95);
    run(6_000);
    Map<String, String> owners = owners();
    assertThat(owners.size(), is(25));
    owners
        .values()
        .forEach(name -> assertThat(processes.get(name).grantedDomains().size(), lessThanOrEqualTo(2)));
  }

  @Test
  void aFewProcessesShareAllDomains() {
    createDomains(25);
    startProcesses(3);
    run(10_000);
    assertThat(owners().size(), is(25));
  }

  @Test
  void aProcessThatComesChangesNoOwner() {
    createDomains(25);
    startProcesses(30);
    run(8_000);
    Map<String, String> before = owners();
    for (int i = 30; i < 60; i++) {
      startProcess("p" + i);
      run(300);
    }
    run(5_000);
    assertThat(owners(), is(before));
  }

  @Test
  void aLossMovesOnlyWhatTheDeadProcessKept() {
    createDomains(25);
    startProcesses(30);
    run(8_000);
    Map<String, String> before = owners();
    String lost = before.get("llm/d0");
    kill(lost);
    run(6_000);
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
  void aProcessThatLeavesIsFollowedBeforeItsLeaseWouldEnd() {
    createDomains(1);
    startProcesses(4);
    run(4_000);
    String first = owners().get("llm/d0");
    processes.get(first).leave();
    dead.add(first);
    run(2_800);
    assertThat(owners().size(), is(1));
  }

  @Test
  void whoLosesTouchWithTheStoreStopsBeforeAnotherBegins() {
    createDomains(6);
    startProcesses(7);
    run(8_000);
    // It still hears the others, and they hear it.
    store.disconnect(owners().get("llm/d3"));
    run(8_000);
    assertThat(owners().size(), is(6));
  }

  @Test
  void whoHearsNobodyTakesNothingAndAsksSeldom() {
    createDomains(25);
    startProcesses(10);
    run(8_000);
    Map<String, String> before = owners();
    deaf.add("p3");
    run(6_000);
    int asked = store.ownerCount();
    run(10_000);
    assertThat(owners(), is(before));
    // Each of at most 25 domains every two seconds.
    assertThat(store.ownerCount() - asked, lessThanOrEqualTo(25 * 6));
  }

  @Test
  void renewalsGrowWithTheDomainsAndNotWithTheProcesses() {
    createDomains(25);
    startProcesses(95);
    run(8_000);
    int before = store.joinCount();
    run(10_000);
    // Two renewals a second for each domain.
    assertThat(store.joinCount() - before, lessThanOrEqualTo(25 * 21));
  }
}
