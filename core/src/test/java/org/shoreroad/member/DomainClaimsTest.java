package org.shoreroad.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests of the domains that a process claims and releases. */
class DomainClaimsTest {
  private static final Set<String> ONE = Set.of("d");
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private final DomainClaims claims = new DomainClaims("me");

  /** Returns the time without an owner until the domain is claimed, in nanoseconds. */
  private static long delayNanos(DomainClaims claims, Set<String> own, List<String> others) {
    for (long nanos = 0; ; nanos += STEP_NANOS) {
      if (!claims.due(nanos, ONE, Set.of(), own, others).isEmpty()) {
        return nanos;
      }
    }
  }

  @Test
  void domainOfAnotherOwnerIsNotClaimed() {
    for (long nanos = 0; nanos < 60_000_000_000L; nanos += STEP_NANOS) {
      assertThat(claims.due(nanos, ONE, ONE, Set.of(), List.of("other")), is(empty()));
    }
  }

  @Test
  void domainWithoutOwnerIsClaimedAfterMinimumDelay() {
    assertThat(delayNanos(claims, Set.of(), List.of()), is(DomainClaims.UNOWNED_NANOS));
  }

  @Test
  void ownerInBetweenRestartsTheDelay() {
    claims.due(0, ONE, Set.of(), Set.of(), List.of());
    claims.due(DomainClaims.UNOWNED_NANOS - 1, ONE, ONE, Set.of(), List.of());
    long nowNanos = DomainClaims.UNOWNED_NANOS + 1;
    assertThat(claims.due(nowNanos, ONE, Set.of(), Set.of(), List.of()), is(empty()));
  }

  @Test
  void delayGrowsWithRank() {
    List<String> names = List.of("a", "b", "c", "d", "e");
    Set<Long> waits = new HashSet<>();
    for (String name : names) {
      waits.add(delayNanos(new DomainClaims(name), Set.of(), names));
    }
    assertThat(waits.size(), is(names.size()));
  }

  @Test
  void delayGrowsWithOwnedDomainsUpToLimit() {
    long idleNanos = delayNanos(new DomainClaims("me"), Set.of(), List.of());
    long busyNanos = delayNanos(new DomainClaims("me"), Set.of("x", "y"), List.of());
    assertThat(busyNanos, greaterThan(idleNanos));
    Set<String> many = new HashSet<>();
    for (int i = 0; i < 500; i++) {
      many.add("x" + i);
    }
    assertThat(
        delayNanos(new DomainClaims("me"), many, List.of()),
        lessThanOrEqualTo(DomainClaims.UNOWNED_NANOS + DomainClaims.MAX_OWNED_NANOS));
  }

  @Test
  void postponedDomainIsClaimedOnlyAfterItsTime() {
    claims.due(0, ONE, Set.of(), Set.of(), List.of());
    claims.postpone("d", 5_000_000_000L);
    assertThat(claims.due(4_999_999_999L, ONE, Set.of(), Set.of(), List.of()), is(empty()));
    assertThat(claims.due(5_000_000_000L, ONE, Set.of(), Set.of(), List.of()), is(ONE));
  }

  @Test
  void surplusDomainsAreReleasedOneAtATime() {
    Set<String> owned = Set.of("a", "b", "c", "d");
    assertThat(claims.surplusDomain(0, owned, 4, 1), is(Optional.empty()));
    assertThat(claims.surplusDomain(0, owned, 4, 2), is(Optional.of("a")));
    assertThat(claims.surplusDomain(1, owned, 4, 2), is(Optional.empty()));
    assertThat(
        claims.surplusDomain(DomainClaims.RELEASE_INTERVAL_NANOS, Set.of("b", "c", "d"), 4, 2),
        is(Optional.empty()));
  }
}
