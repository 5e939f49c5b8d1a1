package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ReplicaId;

/** Tests of a topic follower and of the fleet built from its records, with a fake clock. */
class FollowerAndFleetTest extends FollowerFixture {
  private final Fleet fleet = new Fleet(FollowerAndFleetTest::decode, () -> nowNanos, log);

  private static FleetBox decode(String id, byte[] entry) {
    String text = new String(entry, StandardCharsets.UTF_8);
    if (text.equals("bad")) {
      throw new UnusableEntryException(EntryFault.UNREADABLE, "bad");
    }
    String address = text.startsWith("at ") ? text.substring(3) : "h-" + id + ":1";
    boolean isLeaving = text.equals("leaving");
    Membership membership =
        text.equals("member") ? new Membership(new ReplicaId("r", 5), 1, MemberState.READY) : null;
    String service = text.startsWith("of ") ? text.substring(3) : "s";
    return new FleetBox(id, service, address, "z", 1, isLeaving, "d", null, List.of(), membership);
  }

  @Test
  void allPagesThenAllRecordsAreRead() {
    for (int i = 0; i < 5; i++) {
      store.put("k" + i, "v" + i);
    }
    follower.start();
    assertThat(seen.size(), is(5));
    assertThat(follower.isCurrent(), is(true));
    store.put("k1", "new");
    store.put("k2", null);
    advance(SECOND_NANOS / 1_000);
    assertThat(seen.get("k1"), is("new"));
    assertThat(seen.get("k2"), is("-"));
  }

  @Test
  void proofCountsFromSendingTheRead() {
    follower.start();
    assertThat(follower.provenNanos(), is(nowNanos));
    store.failWith(StoreFault.NO_ANSWER);
    advance(2 * SECOND_NANOS);
    assertThat(follower.provenNanos(), is(nowNanos - 2 * SECOND_NANOS));
  }

  @Test
  void proofIsRenewedWhileALongPollWaits() {
    follower.start();
    store.put("a", "1");
    nowNanos += 2 * SECOND_NANOS;
    follower.renewProof();
    assertThat(follower.provenNanos(), is(nowNanos));
    assertThat(seen.get("a"), is("1"));
    assertThat(follower.next().offset(), is(1L));
    store.failWith(StoreFault.NO_ANSWER);
    nowNanos += SECOND_NANOS;
    follower.renewProof();
    assertThat(follower.provenNanos(), is(nowNanos - SECOND_NANOS));
  }

  /** Guards against a proof by a read that the store has cut off before a removed key. */
  @Test
  void readThatIsCutOffProvesNothingUntilTheRestWasRead() {
    TopicFollower cutOff = follow(record -> store.failWith(StoreFault.NO_ANSWER));
    cutOff.start();
    long proven = cutOff.provenNanos();
    store.put("a", "1");
    store.put("a", "2");
    store.put("a", null);
    store.cutReadsAfter(2);
    advance(SECOND_NANOS);
    assertThat(cutOff.next().offset(), is(2L));
    assertThat(cutOff.provenNanos(), is(proven));
    store.failWith(null);
    advance(SECOND_NANOS);
    assertThat(cutOff.next().offset(), is(3L));
    assertThat(cutOff.provenNanos(), is(nowNanos));
  }

  @Test
  void trimmedTopicIsListedAgain() {
    store.put("a", "1");
    follower.start();
    store.put("b", "2");
    store.trim();
    advance(SECOND_NANOS / 1_000);
    assertThat(seen.keySet(), contains("a", "b"));
    assertThat(store.calls(), hasItem("newest "));
  }

  @Test
  void faultIsRetriedAfterAPause() {
    store.put("a", "1");
    store.failWith(StoreFault.REFUSED);
    follower.start();
    assertThat(follower.isCurrent(), is(false));
    store.failWith(null);
    advance(SECOND_NANOS);
    assertThat(follower.isCurrent(), is(true));
  }

  @Test
  void peerProofIsAcceptedOnlyUpToOwnPosition() {
    store.put("a", "1");
    follower.start();
    long proven = follower.provenNanos();
    follower.acceptPeerProof(StorePosition.of(1, 2), proven + 50);
    assertThat(follower.provenNanos(), is(proven));
    follower.acceptPeerProof(StorePosition.of(1, 1), proven + 50);
    assertThat(follower.provenNanos(), is(proven + 50));
    follower.acceptPeerProof(StorePosition.of(1, 1), proven + 20);
    assertThat(follower.provenNanos(), is(proven + 50));
  }

  private ListUpdate peerUpdate(long from, long end, StoreRecord... records) {
    return new ListUpdate(
        StorePosition.of(1, from),
        StorePosition.of(1, end),
        0,
        60 * SECOND_NANOS,
        List.of(records));
  }

  @Test
  void followerDoesNotReadWhilePeersSendUpdates() {
    store.put("a", "1");
    follower.readThroughPeersWhile(() -> true, 3_000);
    follower.start();
    int calls = store.calls().size();
    byte[] two = {'2'};
    for (int i = 0; i < 20; i++) {
      follower.applyPeerUpdate(
          peerUpdate(1, 5, new StoreRecord(StorePosition.of(1, 3), "b", two)), nowNanos);
      advance(SECOND_NANOS / 5);
    }
    assertThat(store.calls().size(), is(calls));
    assertThat(seen.get("b"), is("2"));
    assertThat(follower.next().offset(), is(5L));
    assertThat(follower.reachableForNanos(), is(60 * SECOND_NANOS));
  }

  @Test
  void followerReadsAgainWhenPeerUpdatesStop() {
    store.put("a", "1");
    follower.readThroughPeersWhile(() -> true, 3_000);
    follower.start();
    follower.applyPeerUpdate(peerUpdate(1, 1), nowNanos);
    int calls = store.calls().size();
    advance(SECOND_NANOS / 5);
    assertThat(store.calls().size(), is(calls));
    advance(2 * SECOND_NANOS);
    advance(SECOND_NANOS);
    assertThat(store.calls().size(), is(greaterThan(calls)));
  }

  @Test
  void oldPeerProofDoesNotReplaceReads() {
    store.put("a", "1");
    follower.readThroughPeersWhile(() -> true, 3_000);
    follower.start();
    int calls = store.calls().size();
    long firstNanos = nowNanos;
    for (int i = 0; i < 25; i++) {
      follower.applyPeerUpdate(peerUpdate(1, 1), firstNanos);
      advance(SECOND_NANOS / 5);
    }
    assertThat(store.calls().size(), is(greaterThan(calls)));
  }

  /** A first read that waits would let the proof become too old, so that keys are refused. */
  @Test
  void firstReadAfterPeerUpdatesStopDoesNotWait() {
    store.put("a", "1");
    follower.readThroughPeersWhile(() -> true, 3_000);
    follower.start();
    follower.applyPeerUpdate(peerUpdate(1, 1), nowNanos);
    advance(SECOND_NANOS / 5);
    int reads = store.waitsMs().size();
    advance(SECOND_NANOS);
    advance(SECOND_NANOS);
    assertThat(store.waitsMs().get(reads), is(0));
    assertThat(store.waitsMs().get(reads + 1), is(1_000));
  }

  @Test
  void eachReadTakesItsWaitFromTheSupplier() {
    int[] waitMs = {700};
    store.put("a", "1");
    follower.setWait(() -> waitMs[0]);
    follower.start();
    waitMs[0] = 900;
    advance(SECOND_NANOS);
    assertThat(store.waitsMs().get(0), is(700));
    assertThat(store.waitsMs().get(1), is(900));
  }

  @Test
  void peerRejectedByTheStoreDoesNotHideThatOthersReachIt() {
    store.put("a", "1");
    follower.readThroughPeersWhile(() -> true, 3_000);
    follower.start();
    follower.applyPeerUpdate(peerUpdate(1, 1), nowNanos);
    follower.applyPeerUpdate(
        new ListUpdate(StorePosition.of(1, 1), StorePosition.of(1, 1), 0, 0, List.of()),
        nowNanos - SECOND_NANOS);
    assertThat(follower.reachableForNanos(), is(60 * SECOND_NANOS));
  }

  @Test
  void suspendedFollowerContinuesFromItsLastPosition() {
    boolean[] isNeedless = {false};
    store.put("a", "1");
    follower.suspendReadsWhile(() -> isNeedless[0], 30_000);
    follower.start();
    isNeedless[0] = true;
    advance(SECOND_NANOS);
    int calls = store.calls().size();
    store.put("b", "2");
    store.put("a", "3");
    for (int i = 0; i < 50; i++) {
      advance(SECOND_NANOS / 5);
    }
    assertThat(store.calls().size(), is(calls));
    isNeedless[0] = false;
    advance(SECOND_NANOS / 5);
    assertThat(seen.get("a"), is("3"));
    assertThat(seen.get("b"), is("2"));
  }

  @Test
  void suspendedFollowerStillReadsAtTheLongestInterval() {
    store.put("a", "1");
    follower.suspendReadsWhile(() -> true, 3_000);
    follower.start();
    int calls = store.calls().size();
    store.put("b", "2");
    advance(2 * SECOND_NANOS);
    assertThat(store.calls().size(), is(calls));
    advance(2 * SECOND_NANOS);
    assertThat(seen.get("b"), is("2"));
  }

  @Test
  void acknowledgementOfAPeerIsNoProof() {
    store.put("a", "1");
    follower.readThroughPeersWhile(() -> true, 3_000);
    follower.start();
    int calls = store.calls().size();
    long provenNanos = follower.provenNanos();
    for (int i = 0; i < 10; i++) {
      follower.applyPeerUpdate(ListUpdate.readTo(StorePosition.of(1, 1)), nowNanos);
      advance(SECOND_NANOS / 5);
    }
    assertThat(store.calls().size(), is(greaterThan(calls)));
    assertThat(follower.provenNanos(), is(greaterThan(provenNanos)));
  }

  @Test
  void peerUpdateWithAGapBeforeItIsIgnored() {
    store.put("a", "1");
    follower.start();
    follower.applyPeerUpdate(
        peerUpdate(2, 9, new StoreRecord(StorePosition.of(1, 8), "b", new byte[] {'2'})), nowNanos);
    assertThat(seen.containsKey("b"), is(false));
    assertThat(follower.next().offset(), is(1L));
  }

  @Test
  void proofBeyondOwnPositionCausesARead() {
    store.put("a", "1");
    follower.readThroughPeersWhile(() -> true, 3_000);
    follower.start();
    follower.acceptPeerProof(StorePosition.of(1, 1), nowNanos);
    store.put("b", "2");
    follower.acceptPeerProof(StorePosition.of(1, 2), nowNanos);
    advance(SECOND_NANOS);
    assertThat(seen.get("b"), is("2"));
  }

  @Test
  void reportsOfMembersDoNotAffectRouting() {
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 0), "i-1", "ready".getBytes(StandardCharsets.UTF_8)));
    FleetBox box = fleet.find("i-1");
    long before = fleet.targetChanges();
    fleet.update(member(box, "m", MemberState.JOINING));
    fleet.update(member(box, "m", MemberState.READY));
    assertThat(fleet.targetChanges(), is(before));
    fleet.update(head(box, MemberState.OPEN));
    assertThat(fleet.targetChanges(), is(before + 1));
    fleet.update(head(box, MemberState.CLOSING));
    assertThat(fleet.targetChanges(), is(before + 2));
  }

  @Test
  void boxesAreIndexedByDomainUntilRemoved() {
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 0), "i-1", "ready".getBytes(StandardCharsets.UTF_8)));
    FleetBox box = fleet.find("i-1");
    String key = Fleet.domainKey(box.service(), String.valueOf(box.domain()));
    FleetBox joining = member(box, "m", MemberState.JOINING);
    fleet.update(joining);
    assertThat(fleet.boxesOf(key), contains(joining));
    assertThat(fleet.domains(), is(Set.of(key)));
    long before = fleet.listChanges();
    fleet.remove("i-1");
    assertThat(fleet.boxesOf(key).isEmpty(), is(true));
    assertThat(fleet.domains().isEmpty(), is(true));
    assertThat(fleet.listChanges(), is(before + 1));
  }

  @Test
  void onlyChangesAreRecentChanges() {
    byte[] entry = "ready".getBytes(StandardCharsets.UTF_8);
    fleet.onListed(Set.of(), StorePosition.of(1, 0));
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 0), "i-1", entry));
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 1), "i-1", entry));
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 2), "i-1", null));
    assertThat(
        fleet.recentChanges().since(StorePosition.of(1, 0)).stream()
            .map(StoreRecord::offset)
            .toList(),
        contains(0L, 2L));
    fleet.onListed(Set.of(), StorePosition.of(1, 7));
    assertThat(fleet.recentChanges().since(StorePosition.of(1, 6)) == null, is(true));
    assertThat(fleet.recentChanges().since(StorePosition.of(1, 7)).isEmpty(), is(true));
  }

  @Test
  void entryThatLapsedInAStoreOutageIsKept() {
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 0), "i-1", "ready".getBytes(StandardCharsets.UTF_8)));
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 1), "i-1", null));
    fleet.reconcile(SECOND_NANOS);
    assertThat(fleet.isEligible("i-1"), is(true));
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 2), "i-1", "ready".getBytes(StandardCharsets.UTF_8)));
    fleet.reconcile(60 * SECOND_NANOS);
    assertThat(fleet.isEligible("i-1"), is(true));
  }

  @Test
  void entryRemovedWithoutAnOutageIsOffTheListButTheBoxIsKnown() {
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 0), "i-1", "ready".getBytes(StandardCharsets.UTF_8)));
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 1), "i-1", null));
    fleet.reconcile(60 * SECOND_NANOS);
    assertThat(fleet.isEligible("i-1"), is(false));
    assertThat(fleet.find("i-1") != null, is(true));
    fleet.remove("i-1");
    assertThat(fleet.find("i-1") == null, is(true));
  }

  @Test
  void laterUpstreamAtTheSameAddressEndsTheFormerOne() {
    byte[] entry = "at h:9".getBytes(StandardCharsets.UTF_8);
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 3), "old", entry));
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 7), "new", entry));
    assertThat(fleet.find("old") == null, is(true));
    assertThat(fleet.isListed("new"), is(true));
    // A listing is in the order of the keys, so the older entry may follow.
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 3), "old", entry));
    assertThat(fleet.find("old") == null, is(true));
    assertThat(fleet.isListed("new"), is(true));
  }

  @Test
  void fullListingRemovesMissingUpstreams() {
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 0), "i-1", "ready".getBytes(StandardCharsets.UTF_8)));
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 1), "i-2", "ready".getBytes(StandardCharsets.UTF_8)));
    fleet.onListed(Set.of("i-2"), StorePosition.of(1, 9));
    fleet.reconcile(60 * SECOND_NANOS);
    assertThat(fleet.isEligible("i-1"), is(false));
    assertThat(fleet.isEligible("i-2"), is(true));
  }

  @Test
  void entryOlderThanTheEngineReportDoesNotOverrideIt() {
    byte[] entry = "ready".getBytes(StandardCharsets.UTF_8);
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 0), "i-1", entry));
    FleetBox report =
        fleet
            .find("i-1")
            .withEngineState(
                "m", List.of(), new Membership(new ReplicaId("r", 5), 0, MemberState.OPEN));
    fleet.update(report);
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 1), "i-1", entry));
    assertThat(fleet.find("i-1").isOpenHead(), is(true));
    nowNanos += 2 * SECOND_NANOS;
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 2), "i-1", entry));
    assertThat(fleet.find("i-1").isOpenHead(), is(false));
  }

  @Test
  void overriddenEntryIsAppliedOnceTheReportIsOld() {
    byte[] entry = "ready".getBytes(StandardCharsets.UTF_8);
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 0), "i-1", entry));
    fleet.update(member(fleet.find("i-1"), "m", MemberState.READY));
    // The box leaves its replica and writes an entry without it, and no further one.
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 1), "i-1", entry));
    fleet.reconcile(60 * SECOND_NANOS);
    assertThat(fleet.find("i-1").membership() == null, is(false));
    nowNanos += 2 * SECOND_NANOS;
    fleet.reconcile(60 * SECOND_NANOS);
    assertThat(fleet.find("i-1").membership() == null, is(true));
  }

  @Test
  void entryOlderThanLeavingAReplicaDoesNotUndoIt() {
    byte[] entry = "member".getBytes(StandardCharsets.UTF_8);
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 0), "i-1", entry));
    FleetBox listed = fleet.find("i-1");
    fleet.update(member(listed, "m", MemberState.READY));
    fleet.update(listed.withEngineState(null, List.of(), null));
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 1), "i-1", entry));
    assertThat(fleet.find("i-1").membership() == null, is(true));
  }

  private static FleetBox unlistedBox(String id, String address) {
    return new FleetBox(id, "s", address, "z", 1, true, "d", null, List.of(), null);
  }

  @Test
  void unlistedBoxIsKnownButGetsNoRequests() {
    assertThat(fleet.addUnlisted(unlistedBox("i-9", "h:9")), is(true));
    assertThat(fleet.find("i-9") == null, is(false));
    assertThat(fleet.isEligible("i-9"), is(false));
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 1), "i-9", "at h:9".getBytes(StandardCharsets.UTF_8)));
    assertThat(fleet.isEligible("i-9"), is(true));
  }

  @Test
  void unlistedBoxAtTheAddressOfAListedOneIsRejected() {
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 1), "new", "at h:9".getBytes(StandardCharsets.UTF_8)));
    assertThat(fleet.addUnlisted(unlistedBox("i-9", "h:9")), is(false));
    assertThat(fleet.find("i-9") == null, is(true));
  }

  private static FleetBox head(FleetBox box, MemberState state) {
    return box.withEngineState("m", List.of(), new Membership(new ReplicaId("r", 5), 0, state));
  }

  private static FleetBox member(FleetBox box, String model, MemberState state) {
    Membership membership = new Membership(new ReplicaId("r", 5), 1, state);
    return box.withEngineState(model, List.of(), membership);
  }

  @Test
  void lastModelIsKeptUntilTheBoxLoadsAnother() {
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 0), "i-1", "ready".getBytes(StandardCharsets.UTF_8)));
    FleetBox box = fleet.find("i-1");
    assertThat(fleet.lastModel("i-1") == null, is(true));
    fleet.update(member(box, "m", MemberState.READY));
    fleet.update(box.withEngineState(null, List.of("other"), null));
    assertThat(fleet.lastModel("i-1"), is("m"));
    fleet.update(member(box, null, MemberState.JOINING));
    assertThat(fleet.lastModel("i-1") == null, is(true));
  }

  @Test
  void unreadableEntryDoesNotReplaceTheOldOne() {
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 0), "i-1", "leaving".getBytes(StandardCharsets.UTF_8)));
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, 1), "i-1", "bad".getBytes(StandardCharsets.UTF_8)));
    assertThat(fleet.find("i-1").isLeaving(), is(true));
  }

  private void put(String id, String text, long offset) {
    fleet.onRecord(
        new StoreRecord(StorePosition.of(1, offset), id, text.getBytes(StandardCharsets.UTF_8)));
  }

  /**
   * An entry of another writer with an undeclared service and the address of an upstream must not
   * be mistaken for a later process there, which would remove the upstream.
   */
  @Test
  void entryOfAnUndeclaredServiceTakesNoAddress() {
    List<EntryFault> faults = new ArrayList<>();
    fleet.setServiceCheck(name -> name.equals("s"));
    fleet.setFaultListener(faults::add);
    put("a", "at 10.0.0.1:1", 1);
    put("other", "of nobody", 2);
    put("h-b:1", "of nobody", 3);
    put("b", "plain", 4);
    put("x", "of nobody", 5);
    assertThat(fleet.find("a") != null, is(true));
    assertThat(fleet.find("b") != null, is(true));
    assertThat(fleet.boxes().size(), is(2));
    assertThat(fleet.domains(), contains("s/d"));
    assertThat(faults, is(Collections.nCopies(3, EntryFault.UNKNOWN_SERVICE)));
  }

  @Test
  void undeclaredUpstreamsAreRemovedOnceServicesAreKnown() {
    put("a", "plain", 1);
    put("other", "of nobody", 2);
    assertThat(fleet.boxes().size(), is(2));
    fleet.setServiceCheck(name -> name.equals("s"));
    fleet.dropUndeclared();
    assertThat(fleet.find("other") == null, is(true));
    assertThat(fleet.find("a") != null, is(true));
  }

  @Test
  void unusableEntryKeepsTheLastGoodOneUntilRemoval() {
    put("a", "plain", 1);
    put("a", "bad", 2);
    assertThat(fleet.isListed("a"), is(true));
    put("a", "leaving", 3);
    assertThat(fleet.find("a").isLeaving(), is(true));
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 4), "a", null));
    assertThat(fleet.isListed("a"), is(false));
    put("a", "bad", 5);
    assertThat(fleet.isListed("a"), is(false));
  }
}
