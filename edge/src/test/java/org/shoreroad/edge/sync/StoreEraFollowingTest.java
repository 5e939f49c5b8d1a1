package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.FleetBox;

/**
 * Tests of following a store that is restored from an older copy.
 *
 * <p>Without eras, requests reached an upstream 3.1 s after it had announced that it leaves. The
 * restored store had assigned offsets again, and the leaving entry had an offset that two processes
 * regarded as read. The tests lose records and write others at the same offsets.
 */
class StoreEraFollowingTest extends FollowerFixture {
  private final Fleet fleet = new Fleet(StoreEraFollowingTest::decode, () -> nowNanos, log);

  /** Reads entries like {@code "address state"}. */
  private static FleetBox decode(String id, byte[] entry) {
    String[] words = new String(entry, StandardCharsets.UTF_8).split(" ");
    boolean isLeaving = words[1].equals("leaving");
    return new FleetBox(id, "s", words[0], "z", 1, isLeaving, null, null, List.of(), null);
  }

  private static StorePosition at(long era, long offset) {
    return StorePosition.of(era, offset);
  }

  private ListUpdate peerUpdate(StorePosition from, StorePosition end, StoreRecord... records) {
    return new ListUpdate(from, end, 0, 60 * SECOND_NANOS, List.of(records));
  }

  private void put(int count) {
    for (int i = 0; i < count; i++) {
      store.put("a", "v" + i);
    }
  }

  @Test
  void reassignedOffsetsAreReadByTheReader() {
    put(3);
    follower.start();
    store.restoreOlderCopy(2);
    store.put("b", "leaving");
    store.put("c", "1");
    store.put("d", "1");
    advance(SECOND_NANOS / 100);
    assertThat(seen.get("b"), is("leaving"));
    assertThat(follower.next(), is(at(2, 4)));
  }

  @Test
  void reassignedOffsetsAreReadByAFollowerOfPeers() {
    put(3);
    follower.readThroughPeersWhile(() -> true, 3_000);
    follower.start();
    store.restoreOlderCopy(2);
    store.put("b", "leaving");
    for (int i = 0; i < 5; i++) {
      follower.applyPeerUpdate(peerUpdate(at(2, 1), at(2, 2)), nowNanos);
      advance(SECOND_NANOS / 5);
    }
    assertThat(seen.get("b"), is("leaving"));
  }

  @Test
  void proofOfAPeerInAnEarlierEraIsIgnored() {
    put(3);
    store.restoreOlderCopy(2);
    follower.start();
    long provenNanos = follower.provenNanos();
    nowNanos += SECOND_NANOS;
    StoreRecord lost = new StoreRecord(at(1, 2), "lost", "1".getBytes(StandardCharsets.UTF_8));
    follower.applyPeerUpdate(peerUpdate(at(1, 1), at(1, 3), lost), nowNanos);
    follower.acceptPeerProof(at(1, 1), nowNanos);
    assertThat(follower.provenNanos(), is(provenNanos));
    assertThat(seen.containsKey("lost"), is(false));
    assertThat(follower.next(), is(at(2, 1)));
  }

  @Test
  void proofOfAPeerWithoutAnEraIsIgnored() {
    put(3);
    follower.start();
    long provenNanos = follower.provenNanos();
    nowNanos += SECOND_NANOS;
    follower.acceptPeerProof(at(StorePosition.UNKNOWN_ERA, 3), nowNanos);
    follower.applyPeerUpdate(peerUpdate(at(-1, 3), at(-1, 3)), nowNanos);
    assertThat(follower.provenNanos(), is(provenNanos));
  }

  @Test
  void proofOfALaterEraCausesAListing() {
    put(3);
    follower.readThroughPeersWhile(() -> true, 3_000);
    follower.start();
    store.restoreOlderCopy(2);
    store.put("b", "1");
    follower.acceptPeerProof(at(2, 2), nowNanos);
    advance(SECOND_NANOS);
    assertThat(seen.get("b"), is("1"));
    assertThat(follower.next(), is(at(2, 2)));
  }

  @Test
  void renewedProofIsNotAcceptedAcrossEras() {
    put(3);
    follower.readThroughPeersWhile(() -> true, 3_000);
    follower.start();
    long provenNanos = follower.provenNanos();
    follower.applyPeerUpdate(peerUpdate(at(1, 3), at(1, 3)), nowNanos);
    store.restoreOlderCopy(2);
    put(3);
    nowNanos += SECOND_NANOS / 10;
    follower.renewProof();
    assertThat(follower.provenNanos(), is(provenNanos));
  }

  @Test
  void newEraOfAnotherCallCausesAListingAfterADelay() {
    put(3);
    follower.readThroughPeersWhile(() -> true, 3_000);
    follower.setListingDelay(() -> 400);
    follower.start();
    int calls = store.calls().size();
    store.restoreOlderCopy(2);
    follower.applyPeerUpdate(peerUpdate(at(1, 3), at(1, 3)), nowNanos);
    follower.noteEra(2);
    follower.noteEra(2);
    advance(SECOND_NANOS / 5);
    assertThat(store.calls().size(), is(calls));
    advance(SECOND_NANOS / 4);
    assertThat(follower.next(), is(at(2, 1)));
    long listings = store.calls().stream().filter(call -> call.equals("newest ")).count();
    assertThat(listings, is(2L));
  }

  private void entry(long era, long offset, String id, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    fleet.onRecord(new StoreRecord(at(era, offset), id, bytes));
  }

  /** The copy has ten of twenty entries of an upstream; another one then has its address. */
  @Test
  void laterUpstreamAtALowerOffsetTakesItsAddress() {
    for (int i = 0; i < 20; i++) {
      entry(1, i, "old", "h:1 ready");
    }
    // A listing is in the order of the keys, so the later upstream may come first.
    entry(2, 10, "new", "h:1 ready");
    entry(2, 9, "old", "h:1 ready");
    fleet.onListed(Set.of("new", "old"), at(2, 11));
    assertThat(fleet.find("old") == null, is(true));
    assertThat(fleet.isListed("new"), is(true));
  }

  @Test
  void upstreamMissingInTheCopyKeepsItsAddressUntilUnlisted() {
    entry(1, 3, "old", "h:1 ready");
    entry(1, 9, "new", "h:1 ready");
    entry(2, 3, "old", "h:1 ready");
    fleet.onListed(Set.of("old"), at(2, 4));
    assertThat(fleet.find("new") != null, is(true));
    entry(2, 6, "new", "h:1 ready");
    fleet.reconcile(60 * SECOND_NANOS);
    assertThat(fleet.isEligible("new"), is(true));
    assertThat(fleet.find("old") == null, is(true));
  }

  @Test
  void addressPassesToTheListedOneWhenTheOtherDoesNotReturn() {
    entry(1, 9, "one", "h:1 ready");
    entry(2, 3, "two", "h:1 ready");
    fleet.onListed(Set.of("two"), at(2, 4));
    assertThat(fleet.find("two") == null, is(true));
    fleet.reconcile(60 * SECOND_NANOS);
    assertThat(fleet.isEligible("two"), is(true));
    assertThat(fleet.find("one") == null, is(true));
  }

  @Test
  void leavingMissingInTheCopyIsKept() {
    entry(1, 3, "a", "h:1 ready");
    entry(1, 9, "a", "h:1 leaving");
    entry(2, 3, "a", "h:1 ready");
    fleet.onListed(Set.of("a"), at(2, 4));
    assertThat(fleet.find("a").isLeaving(), is(true));
    entry(2, 5, "a", "h:1 leaving");
    assertThat(fleet.find("a").isLeaving(), is(true));
  }

  @Test
  void leavingIsRevokedByAnEntryBeyondTheListing() {
    entry(1, 3, "a", "h:1 ready");
    entry(1, 9, "a", "h:1 leaving");
    entry(2, 3, "a", "h:1 ready");
    fleet.onListed(Set.of("a"), at(2, 4));
    entry(2, 6, "a", "h:1 ready");
    assertThat(fleet.find("a").isLeaving(), is(false));
  }

  @Test
  void removalMissingInTheCopyIsKeptForFiveSeconds() {
    entry(1, 3, "a", "h:1 ready");
    fleet.onRecord(new StoreRecord(at(1, 9), "a", null));
    fleet.reconcile(60 * SECOND_NANOS);
    entry(2, 3, "a", "h:1 ready");
    fleet.onListed(Set.of("a"), at(2, 4));
    fleet.reconcile(60 * SECOND_NANOS);
    assertThat(fleet.isEligible("a"), is(false));
    nowNanos += 5 * SECOND_NANOS;
    fleet.reconcile(60 * SECOND_NANOS);
    assertThat(fleet.isEligible("a"), is(true));
  }

  @Test
  void entryWrittenAgainAfterARemovalIsAppliedAtOnce() {
    entry(1, 3, "a", "h:1 ready");
    fleet.onRecord(new StoreRecord(at(1, 9), "a", null));
    entry(2, 3, "a", "h:1 ready");
    fleet.onListed(Set.of("a"), at(2, 4));
    entry(2, 4, "a", "h:1 ready");
    assertThat(fleet.isEligible("a"), is(true));
  }

  /** The position of the first record after a listing is the end of the listing. */
  @Test
  void entryMissingInAListingIsAppliedAtOnceWhenWritten() {
    entry(1, 3, "a", "h:1 ready");
    fleet.onListed(Set.of(), at(1, 9));
    fleet.reconcile(60 * SECOND_NANOS);
    assertThat(fleet.isEligible("a"), is(false));
    entry(1, 9, "a", "h:1 ready");
    assertThat(fleet.isEligible("a"), is(true));
  }

  @Test
  void recentChangesDoNotSpanEras() {
    entry(1, 3, "a", "h:1 ready");
    fleet.onListed(Set.of("a"), at(2, 4));
    entry(2, 4, "a", "h:1 leaving");
    assertThat(fleet.recentChanges().since(at(1, 4)) == null, is(true));
    assertThat(fleet.recentChanges().since(at(2, 4)).size(), is(1));
    assertThat(fleet.recentChanges().since(at(2, 4)).get(0).position(), is(not(at(1, 4))));
  }

  @Test
  void firstEraIsNoChange() {
    int[] changes = {0};
    StoreEra era = new StoreEra(log);
    era.addListener(() -> changes[0]++);
    assertThat(era.observe(7, "read"), is(true));
    assertThat(era.observe(7, "read"), is(true));
    assertThat(changes[0], is(0));
    assertThat(era.observe(8, "join"), is(true));
    assertThat(changes[0], is(1));
    assertThat(era.observe(7, "read"), is(false));
    assertThat(era.formerAnswers(), is(1L));
    assertThat(era.current(), is(8L));
  }
}
