package org.shoreroad.edge.room;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.HeadState;
import org.shoreroad.admission.ReturnPlan;
import org.shoreroad.admission.RoomBook;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.admission.RoomRefusal;
import org.shoreroad.admission.RoomRequest;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.relay.HeadView;
import org.shoreroad.edge.relay.RelayCounters;
import org.shoreroad.traffic.UpstreamService;

/**
 * Room at the heads of one model in the domains that this process owns: delivers the decisions to
 * the processes that asked. Used on the event loop.
 */
final class ModelRoom {
  /**
   * Time for which a head that is no longer listed as open keeps its grants. A head may be missing
   * for the time of one store read, while its requests run on.
   */
  private static final long RETIRED_NANOS =
      TimeUnit.MILLISECONDS.toNanos(2L * RoomBook.grantMillis());

  /** Bound for the length of a line, as there may be thousands of client accounts. */
  private static final int MAX_LOGGED_ACCOUNTS = 40;

  /** Source of numbers that are reported of heads; others are processes that ask for room. */
  private static final String HEADS = "heads";

  private static final long GRANT_NANOS = TimeUnit.MILLISECONDS.toNanos(RoomBook.grantMillis());
  private static final long NOTE_NANOS = TimeUnit.MILLISECONDS.toNanos(RoomService.WAITING_NOTE_MS);

  private final UpstreamService service;
  private final String model;
  private final RoomLedger ledger;
  private final LongSupplier clockNanos;
  private final RelayCounters counters;
  private final Map<RoomRequest.Key, Waiter> waiting = new LinkedHashMap<>();
  private final Map<RoomRequest.Key, Long> heldSinceNanos = new HashMap<>();
  private final Map<String, ListedHead> heads = new HashMap<>();
  private final Map<String, Integer> results = new TreeMap<>();
  private final Map<String, Integer> accounts = new TreeMap<>();
  private long corrected;

  /** Source of the first input with numbers out of range, or null if none is to be logged. */
  private @Nullable String correctedSource;

  /** State of a head and the time of the last listing that contained it. */
  private record ListedHead(HeadState state, String domain, long listedNanos) {}

  /** Request without a decision. */
  private static final class Waiter {
    private final String account;
    private final RoomReplies replies;
    private long notedNanos;

    Waiter(String account, RoomReplies replies, long notedNanos) {
      this.account = account;
      this.replies = replies;
      this.notedNanos = notedNanos;
    }
  }

  ModelRoom(
      UpstreamService service,
      String model,
      RoomLedger ledger,
      LongSupplier clockNanos,
      RelayCounters counters) {
    this.service = service;
    this.model = model;
    this.ledger = ledger;
    this.clockNanos = clockNanos;
    this.counters = counters;
  }

  UpstreamService service() {
    return service;
  }

  /** Returns true if the service is the same, with the same engine. */
  boolean isOf(UpstreamService other) {
    // The comparison of the figures is needed only after a change of the configuration.
    return service == other || service.equals(other);
  }

  String model() {
    return model;
  }

  /** Returns the keys of the domains of the heads. */
  Set<String> domains() {
    Set<String> domains = new HashSet<>();
    heads.values().forEach(head -> domains.add(head.domain()));
    return domains;
  }

  /**
   * Replaces the heads.
   *
   * @param listed the open heads of the model in domains that this process owns
   * @param ownedDomains the keys of the domains that this process owns
   * @param ownGranted the requests of this process itself under grants of it, by the id of the head
   */
  void setHeads(List<HeadView> listed, Set<String> ownedDomains, Map<String, Integer> ownGranted) {
    long nowNanos = clockNanos.getAsLong();
    heads
        .values()
        .removeIf(
            head ->
                !ownedDomains.contains(head.domain())
                    || nowNanos - head.listedNanos() > RETIRED_NANOS);
    heads.replaceAll(
        (id, head) -> new ListedHead(unusable(head), head.domain(), head.listedNanos()));
    for (HeadView view : listed) {
      HeadState state = toState(view, ownGranted.getOrDefault(view.id(), 0));
      heads.put(view.id(), new ListedHead(state, view.domain(), nowNanos));
    }
    ledger.setHeads(heads.values().stream().map(ListedHead::state).toList(), nowNanos);
    recordCorrections(HEADS);
    dropExpired(nowNanos);
    advance();
  }

  private static HeadState unusable(ListedHead head) {
    HeadState state = head.state();
    return new HeadState(
        state.id(),
        state.zone(),
        state.foreignOpen(),
        state.foreignUnreadTokens(),
        state.slowness(),
        false,
        state.startsPerSecond());
  }

  /** Separates the load that this process has not granted from the reported one. */
  private static HeadState toState(HeadView view, int ownGranted) {
    int foreignOpen = Math.max(0, view.openCount() - view.peerGrantedCount() - ownGranted);
    long foreignTokens =
        view.openCount() == 0
            ? 0
            : Math.max(0, view.unreadTokens()) * foreignOpen / view.openCount();
    return new HeadState(
        view.id(),
        view.zone(),
        foreignOpen,
        foreignTokens,
        view.slowness(),
        view.isUsable(),
        view.startsPerSecond());
  }

  private void dropExpired(long nowNanos) {
    heldSinceNanos
        .values()
        .removeIf(
            renewedNanos -> {
              boolean isExpired = nowNanos - renewedNanos > GRANT_NANOS;
              if (isExpired) {
                record("grant_expired");
              }
              return isExpired;
            });
  }

  /** Decides on a request or queues it. */
  void ask(RoomRequest request, RoomReplies replies) {
    long nowNanos = clockNanos.getAsLong();
    // Offered first: a request whose decision fails must not stay among those that wait.
    List<RoomDecision> decisions = ledger.offer(request, nowNanos);
    recordCorrections(request.key().holder());
    waiting.put(request.key(), new Waiter(request.account(), replies, nowNanos));
    deliver(decisions);
    if (waiting.containsKey(request.key())) {
      record("waiting");
      replies.send(new RoomMessage.Waiting(request.key()));
    }
  }

  /** Returns true if the request waits here or was granted room here. */
  boolean knows(RoomRequest.Key key) {
    return waiting.containsKey(key) || heldSinceNanos.containsKey(key);
  }

  /** Withdraws a request that waits, or ends a grant. */
  void end(RoomRequest.Key key, GrantEnd end) {
    boolean wasWaiting = waiting.remove(key) != null;
    boolean wasHeld = heldSinceNanos.remove(key) != null;
    if (wasHeld) {
      record("end_" + end.name().toLowerCase(Locale.ROOT));
    } else if (wasWaiting) {
      record("withdrawn");
    }
    deliver(ledger.end(key, end, clockNanos.getAsLong()));
  }

  /** Renews the grants of a process; returns the numbers of the requests that hold a grant here. */
  Set<Long> renew(String holder, Set<Long> numbers) {
    long nowNanos = clockNanos.getAsLong();
    Set<Long> held = ledger.renew(holder, numbers, nowNanos);
    for (long number : numbers) {
      RoomRequest.Key key = new RoomRequest.Key(holder, number);
      if (held.contains(number)) {
        heldSinceNanos.put(key, nowNanos);
      } else if (heldSinceNanos.remove(key) != null) {
        record("grant_lost");
      }
    }
    return held;
  }

  /**
   * Decides on the requests that wait, and notifies the processes of the others that these still
   * wait.
   */
  void advance() {
    long nowNanos = clockNanos.getAsLong();
    deliver(ledger.advance(nowNanos));
    waiting.forEach(
        (key, waiter) -> {
          if (nowNanos - waiter.notedNanos >= NOTE_NANOS) {
            waiter.notedNanos = nowNanos;
            waiter.replies.send(new RoomMessage.Waiting(key));
          }
        });
  }

  boolean isAnyWaiting() {
    return !waiting.isEmpty();
  }

  /** Refuses all requests that wait, since this process no longer owns a head of the model. */
  void close() {
    List<RoomDecision> refusals = new ArrayList<>();
    waiting
        .keySet()
        .forEach(key -> refusals.add(RoomDecision.refused(key, RoomRefusal.NOT_OWNER, 0)));
    deliver(refusals);
  }

  private void deliver(List<RoomDecision> decisions) {
    for (RoomDecision decision : decisions) {
      Waiter waiter = waiting.remove(decision.key());
      boolean isReachable = waiter != null && waiter.replies.isOpen();
      record(waiter, decision);
      if (decision.isGranted()) {
        heldSinceNanos.put(decision.key(), clockNanos.getAsLong());
      }
      if (waiter != null && isReachable) {
        int free = ledger.freeCount(clockNanos.getAsLong());
        waiter.replies.send(new RoomMessage.Decided(decision, free));
      } else if (decision.isGranted()) {
        end(decision.key(), GrantEnd.UNUSED);
      }
    }
  }

  private void record(@Nullable Waiter waiter, RoomDecision decision) {
    RoomRefusal refusal = decision.refusal();
    record(refusal == null ? "granted" : refusal.code());
    if (waiter != null) {
      String result = refusal == null ? "granted" : "refused";
      accounts.merge(waiter.account + ":" + result, 1, Integer::sum);
    }
  }

  private void record(String result) {
    results.merge(result, 1, Integer::sum);
    counters.count("shoreroad.room.decisions", result);
  }

  /** Counts the numbers out of range since the last call, and keeps the source of the first. */
  private void recordCorrections(String source) {
    long count = ledger.correctedCount();
    if (count > corrected) {
      counters.count("shoreroad.room.corrected", source.equals(HEADS) ? HEADS : "request");
      correctedSource = corrected == 0 ? source : correctedSource;
      corrected = count;
    }
  }

  List<ReturnPlan.Ticket> takeNewTickets() {
    return ledger.takeNewTickets(clockNanos.getAsLong());
  }

  void addTickets(List<ReturnPlan.Ticket> tickets) {
    ledger.addTickets(tickets, clockNanos.getAsLong());
  }

  /** Returns the text of the largest counts, with the sum of all others if there are more. */
  static String mostFrequent(Map<String, Integer> counts, int max) {
    if (counts.size() <= max) {
      return new TreeMap<>(counts).toString();
    }
    Map<String, Integer> largest = new TreeMap<>();
    counts.entrySet().stream()
        .sorted(
            Map.Entry.<String, Integer>comparingByValue(Comparator.reverseOrder())
                .thenComparing(Map.Entry.comparingByKey()))
        .limit(max)
        .forEach(entry -> largest.put(entry.getKey(), entry.getValue()));
    int all = counts.values().stream().mapToInt(Integer::intValue).sum();
    int named = largest.values().stream().mapToInt(Integer::intValue).sum();
    largest.put("others", all - named);
    return largest.toString();
  }

  /** Logs the room and the decisions since the last summary, and once the first bad input. */
  void summarize(EventLog log) {
    if (correctedSource != null) {
      log.write("room_input_corrected", "model", model, "source", correctedSource);
      correctedSource = null;
    }
    int usable = 0;
    int foreign = 0;
    for (ListedHead head : heads.values()) {
      usable += head.state().isUsable() ? 1 : 0;
      foreign += head.state().foreignOpen();
    }
    log.write(
        "room_state",
        "model",
        model,
        "heads",
        heads.size(),
        "usable",
        usable,
        "held",
        heldSinceNanos.size(),
        "foreign",
        foreign,
        "waiting",
        waiting.size(),
        "free",
        ledger.freeCount(clockNanos.getAsLong()),
        "corrected",
        corrected,
        "results",
        results.toString(),
        "accounts",
        mostFrequent(accounts, MAX_LOGGED_ACCOUNTS));
    results.clear();
    accounts.clear();
  }
}
