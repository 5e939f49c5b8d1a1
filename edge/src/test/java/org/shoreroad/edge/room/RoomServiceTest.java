package org.shoreroad.edge.room;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.HeadState;
import org.shoreroad.admission.ReturnPlan.Ticket;
import org.shoreroad.edge.peer.HeartbeatAdditions.RoomOwner;
import org.shoreroad.edge.relay.HeadView;

class RoomServiceTest extends RoomFixture {
  private HeadState stateAfterRefresh(Owner owner) {
    owner.service.refresh();
    return owner.ledger.heads().get(0);
  }

  @Test
  void theLoadWithoutGrantsIsForeign() {
    Owner owner = addOwner("one", 0);
    heads.set(
        0,
        new HeadView("h-one", "llm/d-one", "z", 10, 6, 1_000, 1.5, Double.POSITIVE_INFINITY, true));
    HeadState state = stateAfterRefresh(owner);
    assertThat(state.foreignOpen(), is(4));
    assertThat(state.foreignUnreadTokens(), is(400L));
    assertThat(state.slowness(), is(1.5));
    assertThat(state.isUsable(), is(true));
  }

  @Test
  void aLoadReportOlderThanTheGrantsIsNeverNegative() {
    Owner owner = addOwner("one", 0);
    heads.set(
        0, new HeadView("h-one", "llm/d-one", "z", 2, 5, 100, 1, Double.POSITIVE_INFINITY, true));
    HeadState state = stateAfterRefresh(owner);
    assertThat(state.foreignOpen(), is(0));
    assertThat(state.foreignUnreadTokens(), is(0L));
  }

  @Test
  void aHeadThatIsListedNoMoreKeepsItsGrantsForAWhileButGetsNoMore() {
    Owner owner = addOwner("one", 0);
    Asked asked = ask();
    HeadView view = heads.remove(0);
    assertThat(stateAfterRefresh(owner).isUsable(), is(false));
    assertThat(owner.ledger.grantedCount(), is(1));
    heads.add(view);
    assertThat(stateAfterRefresh(owner).isUsable(), is(true));
    asked.end();
    heads.clear();
    ticks.advance(4_000);
    owner.service.refresh();
    owner.service.refresh();
    assertThat(owner.ledger.heads(), is(empty()));
  }

  @Test
  void headsOfOtherDomainsAreNotGranted() {
    Owner owner = addOwner("one", 0);
    addOwner("two", 0);
    owner.service.refresh();
    assertThat(owner.ledger.heads(), hasSize(1));
  }

  @Test
  void aGrantToAProcessThatCannotBeReachedIsFreedAgain() {
    Owner owner = addOwner("one", 0);
    owner.isUnreachable = true;
    owner.receive(new RoomMessage.Ask(RoomCodecTest.request(20, 1), "llm", "m"));
    assertThat(owner.ledger.grantedCount(), is(0));
  }

  @Test
  void invitationsReachTheOtherOwnersOfTheModelOnly() {
    Owner one = addOwner("one", 0);
    Owner two = addOwner("two", 0);
    Ticket ticket = new Ticket(5, 100, 9);
    one.ledger.tickets.add(ticket);
    List<String> receivers = new ArrayList<>();
    Map<String, RoomOwner> all = known.ownersOf(LLM, "m");
    one.service.shareTickets(
        (service, model) -> all,
        "one",
        (owner, message) -> {
          receivers.add(owner.process());
          two.receive(message);
          return true;
        });
    assertThat(receivers, is(List.of("two")));
    assertThat(two.ledger.received, is(List.of(ticket)));
  }

  @Test
  void messagesOnUnknownModelsAndRequestsHaveNoEffect() {
    Owner owner = addOwner("one", 0);
    owner.receive(new RoomMessage.Tickets("llm", "none", List.of(new Ticket(1, 1, 1))));
    owner.receive(new RoomMessage.End(RoomCodecTest.KEY, GrantEnd.USED));
    owner.receive(new RoomMessage.Waiting(RoomCodecTest.KEY));
    assertThat(owner.ledger.ends, is(empty()));
    assertThat(owner.ledger.received, is(empty()));
  }
}
