package org.shoreroad.edge.room;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.HeadState;
import org.shoreroad.admission.ReturnPlan;
import org.shoreroad.admission.RoomBook;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.admission.RoomRefusal;
import org.shoreroad.admission.RoomRequest;

/**
 * Ledger with a number of slots at each usable head. Final requests wait in their order until a
 * maximum, and all others are refused.
 */
final class FakeLedger implements RoomLedger {
  static final int RETRY_AFTER_MS = 123;

  private final int slots;
  private final int maxWaiting;
  private final Map<RoomRequest.Key, String> grants = new LinkedHashMap<>();
  private final Map<RoomRequest.Key, Long> renewedNanos = new LinkedHashMap<>();
  private final Map<RoomRequest.Key, RoomRequest> waiting = new LinkedHashMap<>();
  final List<String> ends = new ArrayList<>();
  final List<ReturnPlan.Ticket> tickets = new ArrayList<>();
  final List<ReturnPlan.Ticket> received = new ArrayList<>();
  boolean isFailing;
  private List<HeadState> heads = List.of();

  FakeLedger(int slots, int maxWaiting) {
    this.slots = slots;
    this.maxWaiting = maxWaiting;
  }

  List<HeadState> heads() {
    return heads;
  }

  int grantedCount() {
    return grants.size();
  }

  @Override
  public void setHeads(Collection<HeadState> newHeads, long nowNanos) {
    heads = List.copyOf(newHeads);
    grants.values().removeIf(id -> heads.stream().noneMatch(head -> head.id().equals(id)));
  }

  @Override
  public List<RoomDecision> offer(RoomRequest request, long nowNanos) {
    if (isFailing) {
      throw new IllegalStateException("scripted failure");
    }
    waiting.put(request.key(), request);
    List<RoomDecision> decisions = decide(nowNanos);
    boolean mayWait = request.isFinal() && waiting.size() <= maxWaiting;
    if (waiting.containsKey(request.key()) && !mayWait) {
      waiting.remove(request.key());
      decisions.add(
          RoomDecision.refused(request.key(), RoomRefusal.TARGET_OUT_OF_REACH, RETRY_AFTER_MS));
    }
    return decisions;
  }

  private List<RoomDecision> decide(long nowNanos) {
    List<RoomDecision> decisions = new ArrayList<>();
    for (RoomRequest request : List.copyOf(waiting.values())) {
      for (HeadState head : heads) {
        if (waiting.containsKey(request.key())
            && !request.excludedHeads().contains(head.id())
            && free(head) > 0) {
          waiting.remove(request.key());
          grants.put(request.key(), head.id());
          renewedNanos.put(request.key(), nowNanos);
          decisions.add(RoomDecision.granted(request.key(), head.id()));
        }
      }
    }
    return decisions;
  }

  private int free(HeadState head) {
    long granted = grants.values().stream().filter(id -> id.equals(head.id())).count();
    return head.isUsable() ? (int) Math.max(0, slots - granted - head.foreignOpen()) : 0;
  }

  @Override
  public List<RoomDecision> end(RoomRequest.Key key, GrantEnd end, long nowNanos) {
    if (waiting.remove(key) != null) {
      ends.add("withdrawn " + key.number());
    }
    if (grants.remove(key) != null) {
      ends.add(end + " " + key.number());
    }
    return decide(nowNanos);
  }

  @Override
  public Set<Long> renew(String holder, Set<Long> numbers, long nowNanos) {
    renewedNanos.replaceAll(
        (key, since) ->
            key.holder().equals(holder) && numbers.contains(key.number()) ? nowNanos : since);
    Set<Long> held = new HashSet<>(numbers);
    held.removeIf(number -> !grants.containsKey(new RoomRequest.Key(holder, number)));
    return held;
  }

  @Override
  public List<RoomDecision> advance(long nowNanos) {
    long grantNanos = TimeUnit.MILLISECONDS.toNanos(RoomBook.grantMillis());
    grants.keySet().removeIf(key -> nowNanos - renewedNanos.get(key) > grantNanos);
    return decide(nowNanos);
  }

  @Override
  public int waitingCount() {
    return waiting.size();
  }

  @Override
  public int freeCount(long nowNanos) {
    return heads.stream().mapToInt(this::free).sum();
  }

  @Override
  public long correctedCount() {
    return 0;
  }

  @Override
  public List<ReturnPlan.Ticket> takeNewTickets(long nowNanos) {
    List<ReturnPlan.Ticket> taken = List.copyOf(tickets);
    tickets.clear();
    return taken;
  }

  @Override
  public void addTickets(List<ReturnPlan.Ticket> newTickets, long nowNanos) {
    received.addAll(newTickets);
  }
}
