package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.admission.ReturnPlan.Ticket;

/**
 * A caller that returns sends a new request, whose age is 0. If it counted as in time, the callers
 * refused in a burst would take the room of new ones for as long again.
 */
class ReturningCallerTest {
  private static final long MS = 1_000_000L;
  private static final long HASH = 77;

  private final FakeReturns returns = new FakeReturns();
  private final RoomBook book = new RoomBook(ModelPlay.SPEC, ModelPlay.SHAPE, returns);
  private long now;
  private long nextNumber;

  @BeforeEach
  void setUpOneKnownHead() {
    book.setHeads(List.of(head(0)), now);
    now += 2_000 * MS;
  }

  private static HeadState head(int foreignOpen) {
    return new HeadState("h0", "z", foreignOpen, 0, 1, true, Double.POSITIVE_INFINITY);
  }

  private RoomRequest request(long contentHash, int ageMs) {
    return new RoomRequest(
        new RoomRequest.Key("p", nextNumber++),
        "z",
        "a",
        0,
        100,
        100,
        ageMs,
        250,
        200,
        6_000,
        contentHash,
        Set.of(),
        true);
  }

  @Test
  void callerThatWasNotInvitedGetsNoRoomThatNewOnesNeed() {
    // Requests that arrive show that more are expected within the next pass.
    for (int i = 0; i < 20; i++) {
      RoomRequest earlier = request(i, 0);
      book.offer(earlier, now);
      now += 5 * MS;
      book.end(earlier.key(), GrantEnd.USED, now);
    }
    book.setHeads(List.of(head(ModelHead.SLOTS - 1)), now);
    returns.refusedAgesMs.put(HASH, 2_000);
    RoomDecision decision = book.offer(request(HASH, 0), now).get(0);
    assertThat(decision.refusal(), is(RoomRefusal.TARGET_OUT_OF_REACH));
    assertThat(returns.lastRefusedAgeMs, is(2_000));
  }

  @Test
  void callerThatWasNotInvitedGetsRoomThatIsIdle() {
    returns.refusedAgesMs.put(HASH, 2_000);
    assertThat(book.offer(request(HASH, 0), now).get(0).isGranted(), is(true));
  }

  @Test
  void invitedCallerKeepsItsPlace() {
    book.setHeads(List.of(head(ModelHead.SLOTS - 1)), now);
    returns.refusedAgesMs.put(HASH, 2_000);
    returns.invited.add(HASH);
    assertThat(book.offer(request(HASH, 0), now).get(0).isGranted(), is(true));
  }

  @Test
  void otherOwnersLearnWhenARefusedCallerFirstCame() {
    ReturnPlan plan = new ReturnPlan(new SplittableRandom(1), 40);
    ReturnPlan other = new ReturnPlan(new SplittableRandom(2), 40);
    plan.recordRefused(HASH, 30, 1_000, now);
    plan.invite(HASH, 1_000, 1_000, now);
    List<Ticket> tickets = plan.takeNewTickets(now);
    assertThat(tickets, is(List.of(new Ticket(HASH, Ticket.NOT_INVITED, 30))));
    other.addTickets(tickets, now);
    other.addTickets(tickets, now);
    assertThat(other.isExpected(HASH, now + 2_000 * MS), is(false));
    assertThat(other.takeCallerAgeMs(HASH, now + 2_000 * MS), greaterThanOrEqualTo(2_030));
    assertThat(other.takeCallerAgeMs(HASH, now + 2_000 * MS), is(0));
  }

  @Test
  void agesThatNoOwnerSetsAreIgnored() {
    ReturnPlan plan = new ReturnPlan(new SplittableRandom(1), 40);
    plan.addTickets(
        List.of(
            new Ticket(1, Ticket.NOT_INVITED, -5),
            new Ticket(2, Ticket.NOT_INVITED, Integer.MAX_VALUE)),
        now);
    assertThat(plan.takeCallerAgeMs(1, now), is(0));
    assertThat(plan.takeCallerAgeMs(2, now), is(0));
  }
}
