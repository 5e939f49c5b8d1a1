package org.shoreroad.edge.room;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.HeadState;
import org.shoreroad.admission.ReturnPlan;
import org.shoreroad.admission.RoomBook;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.admission.RoomRequest;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;

/**
 * Room at the heads of one model and the planned returns of refused callers. The methods are those
 * of {@link RoomBook} and {@link ReturnPlan}. Used on the event loop.
 */
interface RoomLedger {
  void setHeads(Collection<HeadState> heads, long nowNanos);

  List<RoomDecision> offer(RoomRequest request, long nowNanos);

  List<RoomDecision> end(RoomRequest.Key key, GrantEnd end, long nowNanos);

  Set<Long> renew(String holder, Set<Long> numbers, long nowNanos);

  List<RoomDecision> advance(long nowNanos);

  int waitingCount();

  int freeCount(long nowNanos);

  long correctedCount();

  List<ReturnPlan.Ticket> takeNewTickets(long nowNanos);

  void addTickets(List<ReturnPlan.Ticket> tickets, long nowNanos);

  /** Creates ledgers without heads. */
  interface Factory {
    RoomLedger create(EngineSpec spec, ModelShape model);
  }

  /** Returns a ledger with a book and a plan of its own. */
  static RoomLedger of(EngineSpec spec, ModelShape model, RandomGenerator random) {
    ReturnPlan returns = new ReturnPlan(random, spec.passMs(model, spec.slots(), 0));
    RoomBook book = new RoomBook(spec, model, returns);
    return new RoomLedger() {
      @Override
      public void setHeads(Collection<HeadState> heads, long nowNanos) {
        book.setHeads(heads, nowNanos);
      }

      @Override
      public List<RoomDecision> offer(RoomRequest request, long nowNanos) {
        return book.offer(request, nowNanos);
      }

      @Override
      public List<RoomDecision> end(RoomRequest.Key key, GrantEnd end, long nowNanos) {
        return book.end(key, end, nowNanos);
      }

      @Override
      public Set<Long> renew(String holder, Set<Long> numbers, long nowNanos) {
        return book.renew(holder, numbers, nowNanos);
      }

      @Override
      public List<RoomDecision> advance(long nowNanos) {
        return book.advance(nowNanos);
      }

      @Override
      public int waitingCount() {
        return book.waitingCount();
      }

      @Override
      public int freeCount(long nowNanos) {
        return book.freeCount(nowNanos);
      }

      @Override
      public long correctedCount() {
        return book.correctedCount();
      }

      @Override
      public List<ReturnPlan.Ticket> takeNewTickets(long nowNanos) {
        return returns.takeNewTickets(nowNanos);
      }

      @Override
      public void addTickets(List<ReturnPlan.Ticket> tickets, long nowNanos) {
        returns.addTickets(tickets, nowNanos);
      }
    };
  }
}
