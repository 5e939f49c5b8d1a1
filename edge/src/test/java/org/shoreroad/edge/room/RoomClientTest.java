package org.shoreroad.edge.room;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.admission.RoomRequest;
import org.shoreroad.edge.relay.HeadView;

/** Tests the client and the service together, on a virtual clock, with fake ledgers. */
class RoomClientTest extends RoomFixture {
  /** First reply of an owner, and the tick that follows it. */
  private static final int SILENCE_MS = 70;

  private void fill(Owner owner) {
    for (int i = 0; i < SLOTS; i++) {
      RoomRequest.Key key = new RoomRequest.Key("other~b", i);
      RoomRequest request = RoomCodecTest.request(20, 1);
      owner.receive(new RoomMessage.Ask(withKey(request, key), "llm", "m"));
    }
  }

  private static RoomRequest withKey(RoomRequest request, RoomRequest.Key key) {
    return new RoomRequest(
        key,
        request.zone(),
        request.account(),
        request.priority(),
        request.promptTokens(),
        request.answerTokens(),
        request.ageMs(),
        request.targetLatencyMs(),
        request.targetGapMs(),
        request.remainingMs(),
        request.contentHash(),
        Set.of(),
        true);
  }

  private static void free(Owner owner, int number) {
    owner.receive(new RoomMessage.End(new RoomRequest.Key("other~b", number), GrantEnd.USED));
  }

  @Test
  void aGrantIsHeldUntilItsEndWhichIsReportedOnce() {
    Owner owner = addOwner("one", 0);
    Asked asked = ask();
    assertThat(asked.grant.headId(), is("h-one"));
    assertThat(client.grantedOpen(), is(Map.of("h-one", 1)));
    asked.end();
    asked.grant.end(GrantEnd.FAILED);
    assertThat(owner.ledger.ends, is(List.of("USED 1")));
    assertThat(client.grantedOpen(), is(Map.of()));
  }

  @Test
  void aRequestThatWaitsIsGrantedWhenRoomIsFreed() {
    Owner owner = addOwner("one", 5);
    fill(owner);
    Asked asked = ask();
    ticks.advance(300);
    assertThat(asked.results, is(0));
    free(owner, 0);
    assertThat(asked.grant, notNullValue());
  }

  @Test
  void aRefusalOfTheLastOwnerPassesItsRetryAfterOn() {
    fill(addOwner("one", 0));
    fill(addOwner("two", 0));
    Asked asked = ask();
    assertThat(asked.refusal.retryAfterMs(), is(FakeLedger.RETRY_AFTER_MS));
    assertThat(asked.covered, is(Set.of("h-one", "h-two")));
    assertThat(asked.results, is(1));
    assertThat(client.openCount(), is(0));
  }

  @Test
  void onlyTheLastOfThreeOwnersLetsARequestWait() {
    List<Owner> all = new ArrayList<>();
    for (String name : List.of("one", "two", "three", "four")) {
      all.add(addOwner(name, 5));
    }
    all.forEach(this::fill);
    Asked asked = ask();
    assertThat(asked.results, is(0));
    assertThat(all.stream().mapToInt(owner -> owner.ledger.waitingCount()).sum(), is(1));
  }

  @Test
  void aSilentOwnerIsFollowedByAnother() {
    Owner silent = addOwner("one", 0);
    silent.isSilent = true;
    Owner other = addOwner("two", 0);
    for (int i = 0; i < SLOTS; i++) {
      Asked asked = ask();
      ticks.advance(SILENCE_MS);
      assertThat(asked.grant.headId(), is("h-two"));
    }
    assertThat(other.ledger.grantedCount(), is(SLOTS));
  }

  @Test
  void ifNoOwnerAnswersTheProcessChoosesByItself() {
    addOwner("one", 0).isSilent = true;
    addOwner("two", 0).isUnreachable = true;
    Asked asked = ask();
    ticks.advance(SILENCE_MS);
    assertThat(asked.isUnavailable, is(true));
    assertThat(asked.results, is(1));
    // Both are left alone for a while.
    assertThat(ask().isUnavailable, is(true));
  }

  @Test
  void headsWhoseOwnerRefusedAreNotChosenWhileAnotherIsSilent() {
    addOwner("one", 0).isSilent = true;
    fill(addOwner("two", 0));
    Asked asked = ask();
    ticks.advance(SILENCE_MS);
    assertThat(asked.covered, is(Set.of("h-two")));
  }

  @Test
  void anOwnerThatRepliesLateIsAskedAgain() {
    Owner owner = addOwner("one", 0);
    owner.isSilent = true;
    assertThat(ask().results, is(0));
    ticks.advance(SILENCE_MS);
    owner.isSilent = false;
    assertThat(ask().isUnavailable, is(true));
    client.receive("one", new RoomMessage.Waiting(new RoomRequest.Key(SELF, 1)));
    assertThat(ask().grant, notNullValue());
  }

  @Test
  void onlyHeadsOfSilentOwnersAreLeftOnceAnotherHasRefused() {
    addOwner("one", 0).isSilent = true;
    for (String name : List.of("two", "three", "four", "five")) {
      fill(addOwner(name, 0));
      heads.remove(heads.size() - 1);
      heads.add(
          new HeadView(
              "h-" + name, "llm/d-" + name, "z", SLOTS, 0, 0, 1, Double.POSITIVE_INFINITY, true));
    }
    // Only the silent owner has free slots by the load reports, so it is asked.
    Asked first = ask();
    ticks.advance(SILENCE_MS);
    assertThat(first.covered, is(Set.of("h-two", "h-three", "h-four", "h-five")));
    assertThat(ask().covered, is(Set.of("h-two", "h-three", "h-four", "h-five")));
  }

  @Test
  void anOwnerThatFallsSilentDuringTheWaitIsFollowedByTheOwnChoice() {
    Owner owner = addOwner("one", 5);
    fill(owner);
    Asked asked = ask();
    ticks.advance(100);
    owner.isSilent = true;
    ticks.advance(3 * RoomService.WAITING_NOTE_MS + SILENCE_MS);
    assertThat(asked.isUnavailable, is(true));
  }

  @Test
  void theLossOfAConnectionIsFollowedByAnotherOwnerAtOnce() {
    Owner one = addOwner("one", 5);
    fill(one);
    Asked asked = ask();
    addOwner("two", 0);
    client.onOwnerLost("one");
    assertThat(asked.grant.headId(), is("h-two"));
    assertThat(one.ledger.waitingCount(), is(0));
  }

  @Test
  void aCallerThatLeavesWhileItWaitsTakesItsAskAlong() {
    Owner owner = addOwner("one", 5);
    fill(owner);
    Asked asked = ask();
    asked.ask.withdraw();
    free(owner, 0);
    assertThat(asked.results, is(0));
    assertThat(owner.ledger.ends, is(List.of("withdrawn 1", "USED 0")));
    assertThat(owner.ledger.grantedCount(), is(SLOTS - 1));
  }

  @Test
  void aGrantThatComesTooLateOrTwiceFreesItsRoom() {
    Owner owner = addOwner("one", 0);
    owner.isSilent = true;
    Asked late = ask();
    ticks.advance(SILENCE_MS);
    assertThat(late.isUnavailable, is(true));
    owner.isSilent = false;
    RoomRequest.Key key = new RoomRequest.Key(SELF, 1);
    owner.receive(new RoomMessage.Ask(withKey(RoomCodecTest.request(20, 1), key), "llm", "m"));
    assertThat(owner.ledger.ends, is(List.of("UNUSED 1")));
    assertThat(late.results, is(1));
  }

  @Test
  void aRepeatedGrantInUseIsLeftAlone() {
    Owner owner = addOwner("one", 0);
    Asked asked = ask();
    RoomDecision again = RoomDecision.granted(new RoomRequest.Key(SELF, 1), "h-one");
    client.receive("one", new RoomMessage.Decided(again, 0));
    assertThat(owner.ledger.ends, is(empty()));
    assertThat(asked.results, is(1));
  }

  @Test
  void aReplyOfAnotherOwnerIsNotTakenForTheAskedOne() {
    Owner owner = addOwner("one", 5);
    fill(owner);
    addOwner("two", 0).domains.clear();
    announce();
    Asked asked = ask();
    RoomDecision forged = RoomDecision.granted(new RoomRequest.Key(SELF, 1), "h-two");
    client.receive("two", new RoomMessage.Decided(forged, 0));
    assertThat(asked.results, is(0));
  }

  @Test
  void grantsThatAreNotRenewedExpireAndRenewedOnesStay() {
    Owner owner = addOwner("one", 0);
    fill(owner);
    ticks.advance(1_000);
    owner.service.refresh();
    assertThat(owner.ledger.grantedCount(), is(SLOTS));
    owner.receive(new RoomMessage.Renewal("other~b", Set.of(0L)));
    ticks.advance(1_000);
    owner.service.refresh();
    assertThat(owner.ledger.grantedCount(), is(1));
    Asked asked = ask();
    client.renew();
    ticks.advance(1_400);
    client.renew();
    ticks.advance(1_400);
    owner.service.refresh();
    assertThat(owner.ledger.grantedCount(), is(1));
    assertThat(asked.grant, notNullValue());
  }

  @Test
  void aGrantThatExpiredDuringASuspensionIsLoadWithoutAGrantFromThenOn() {
    Owner owner = addOwner("one", 0);
    Asked asked = ask();
    client.renew();
    assertThat(asked.grant.isInForce(), is(true));
    ticks.advance(1_600);
    client.renew();
    assertThat(asked.grant.isInForce(), is(false));
    owner.service.refresh();
    assertThat(client.grantedOpen(), is(Map.of()));
    assertThat(owner.ledger.grantedCount(), is(0));
    asked.end();
    assertThat(client.grantedCount(), is(0));
  }

  @Test
  void aGrantWhoseOwnerCannotBeReachedIsLoadWithoutAGrantOnceItExpires() {
    Owner owner = addOwner("one", 0);
    ask();
    owner.isUnreachable = true;
    for (int i = 0; i < 4; i++) {
      client.renew();
      assertThat(client.grantedOpen(), is(Map.of("h-one", 1)));
      ticks.advance(400);
    }
    assertThat(client.grantedOpen(), is(Map.of()));
  }

  @Test
  void aGrantWhoseRenewalsAreNotAnsweredIsLoadWithoutAGrantOnceItExpires() {
    Owner owner = addOwner("one", 0);
    ask();
    owner.isSilent = true;
    for (int i = 0; i < 4; i++) {
      client.renew();
      ticks.advance(400);
    }
    assertThat(client.grantedOpen(), is(Map.of()));
    owner.isSilent = false;
    client.renew();
    assertThat(client.grantedOpen(), is(Map.of()));
  }

  @Test
  void aGrantThatItsOwnerHoldsNoMoreIsLoadWithoutAGrantAfterTheNextRenewal() {
    Owner owner = addOwner("one", 0);
    Asked asked = ask();
    // As after a suspension of the owner, or a lease that moved and came back.
    owner.ledger.setHeads(List.of(), ticks.nowNanos());
    owner.service.refresh();
    assertThat(owner.ledger.grantedCount(), is(0));
    client.renew();
    assertThat(client.grantedOpen(), is(Map.of()));
    asked.end();
    assertThat(client.grantedCount(), is(0));
  }

  @Test
  void anAnswerToRenewalsOfAnotherOwnerHasNoEffect() {
    addOwner("one", 0);
    ask();
    addOwner("two", 0);
    client.receive("two", new RoomMessage.Renewed(SELF, Set.of(), Set.of(1L)));
    client.receive("one", new RoomMessage.Renewed("other~b", Set.of(), Set.of(1L)));
    assertThat(client.grantedOpen(), is(Map.of("h-one", 1)));
  }

  @Test
  void aFormerOwnerDeclinesAndTheProcessChoosesByItself() {
    Owner owner = addOwner("one", 5);
    owner.domains.clear();
    Asked asked = ask();
    assertThat(asked.isUnavailable, is(true));
    announce();
    assertThat(client.isShared(LLM, "m"), is(false));
  }

  @Test
  void requestsThatWaitAtAnOwnerThatLosesItsLeaseGoOn() {
    Owner owner = addOwner("one", 5);
    fill(owner);
    Asked asked = ask();
    owner.domains.clear();
    owner.service.refresh();
    assertThat(asked.isUnavailable, is(true));
  }

  @Test
  void grantsOfAFormerOwnerAreNotCountedAsThoseOfThePresentOne() {
    Owner owner = addOwner("one", 0);
    Asked asked = ask();
    owner.domains.clear();
    announce();
    assertThat(client.grantedOpen(), is(Map.of()));
    asked.end();
    assertThat(client.grantedCount(), is(0));
  }

  @Test
  void excludedAndUnusableHeadsAreNotAskedFor() {
    addOwner("one", 0);
    Asked excluded = ask(Set.of("h-one"));
    assertThat(excluded.isUnavailable, is(true));
    heads.set(
        0, new HeadView("h-one", "llm/d-one", "z", 0, 0, 0, 1, Double.POSITIVE_INFINITY, false));
    assertThat(ask().grant, nullValue());
  }
}
