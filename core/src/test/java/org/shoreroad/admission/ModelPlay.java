package org.shoreroad.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;

/** Plays callers against model engines through a {@link RoomBook}. Times in milliseconds. */
final class ModelPlay {
  static final ModelShape SHAPE = new ModelShape("m", 8, 1, ModelHead.PACE, 16, 1.6);
  static final EngineSpec SPEC =
      new EngineSpec(
          ModelHead.SLOTS,
          988_235,
          6.07,
          0.34,
          0,
          46_000,
          2_048,
          ModelHead.STRIDE,
          8,
          8,
          200,
          List.of(SHAPE));
  static final double MEAN_PROMPT = 714;
  static final double MEAN_EVENTS = 23;
  private static final double STEP_MS = 0.5;
  private static final long FOREIGN_NUMBER = -1;
  private static final double HINT_SIGMA = 0.5;

  /** Age of the reports on the load of others, in intervals of 100 ms. */
  private static final int REPORT_DELAY = 4;

  private final Random random;
  final List<ModelHead> heads = new ArrayList<>();
  final List<ModelCall> calls = new ArrayList<>();
  private final PriorityQueue<Source> sources = new PriorityQueue<>();
  private final List<ModelCall> returning = new ArrayList<>();
  private final List<Double> returnMs = new ArrayList<>();
  private final Map<ModelCall, RoomRequest.Key> keys = new HashMap<>();
  private final Map<Long, ModelCall> byNumber = new HashMap<>();
  RoomBook book;
  final Map<RoomRefusal, Integer> refusals = new HashMap<>();
  private final ArrayDeque<List<HeadState>> reports = new ArrayDeque<>();
  private long nextNumber;
  private long firstOwnNumber;
  private long silentBelow;
  private double foreignPerMs;
  double nowMs;

  /** Arrivals at a rate, from one time to another. */
  private static final class Source implements Comparable<Source> {
    private final List<String> accounts;
    private final int priority;
    private final double perMs;
    private final double untilMs;
    private double sizeFactor = 1;
    private double nextMs;

    Source(List<String> accounts, int priority, double perMs, double fromMs, double untilMs) {
      this.accounts = accounts;
      this.priority = priority;
      this.perMs = perMs;
      this.untilMs = untilMs;
      nextMs = fromMs;
    }

    @Override
    public int compareTo(Source other) {
      return Double.compare(nextMs, other.nextMs);
    }
  }

  ModelPlay(long seed, int headCount) {
    this(seed, headCount, returns(seed));
  }

  ModelPlay(long seed, int headCount, Returns returns) {
    book = new RoomBook(SPEC, SHAPE, returns);
    random = new Random(seed);
    for (int i = 0; i < headCount; i++) {
      heads.add(new ModelHead(random));
    }
  }

  /** Returns a plan without invitations. */
  static ReturnPlan returns(long seed) {
    return new ReturnPlan(new SplittableRandom(seed), SPEC.passMs(SHAPE, SPEC.slots(), 0));
  }

  /** Returns the calls in a millisecond that the heads can serve at full slots. */
  static double capacityPerMs(int headCount) {
    double perPass = ModelHead.SLOTS / (MEAN_EVENTS + 1);
    double passMs = ModelHead.passMs(ModelHead.SLOTS, perPass * MEAN_PROMPT);
    return headCount * perPass / passMs;
  }

  ModelPlay withSource(
      List<String> accounts, int priority, double perMs, double fromMs, double untilMs) {
    sources.add(new Source(accounts, priority, perMs, fromMs, untilMs));
    return this;
  }

  ModelPlay withLargerCalls(String account, double perMs, double sizeFactor, double untilMs) {
    Source source = new Source(List.of(account), 0, perMs, 0, untilMs);
    source.sizeFactor = sizeFactor;
    sources.add(source);
    return this;
  }

  /** Sends calls past the book, as a process of an earlier release does. */
  ModelPlay withForeignLoad(double perMs) {
    foreignPerMs = perMs;
    return this;
  }

  void play(double untilMs) {
    List<ModelCall> ended = new ArrayList<>();
    for (int step = 0; nowMs < untilMs; step++) {
      nowMs += STEP_MS;
      if (step % 200 == 0) {
        report();
      }
      arrive();
      sendForeign();
      ended.clear();
      heads.forEach(head -> head.play(nowMs, ended));
      for (ModelCall call : ended) {
        apply(book.end(keys.get(call), GrantEnd.USED, nanos()));
      }
      if (step % 40 == 0) {
        apply(book.advance(nanos()));
      }
      if (step % 800 == 0) {
        renew();
      }
    }
  }

  /** Replaces the book; the running calls become load that the next one hasn't granted. */
  void replaceBook() {
    replaceBook(returns(random.nextLong()));
  }

  void replaceBook(Returns returns) {
    book = new RoomBook(SPEC, SHAPE, returns);
    firstOwnNumber = nextNumber;
    reports.clear();
    report();
  }

  /** Ends the process that holds all calls; the book is not told. */
  void cutHolder() {
    heads.forEach(ModelHead::clear);
    silentBelow = nextNumber;
  }

  /** Tells the book the state of the heads, with the load of others as it was a while ago. */
  private void report() {
    List<HeadState> states = new ArrayList<>();
    for (int i = 0; i < heads.size(); i++) {
      List<ModelCall> foreign = new ArrayList<>();
      heads.get(i).addOpen(call -> keys.get(call).number() < firstOwnNumber, foreign);
      double tokens = foreign.stream().mapToDouble(call -> call.unreadTokens).sum();
      boolean isUsable = !heads.get(i).isDark;
      states.add(
          new HeadState(
              "h" + i, "z", foreign.size(), (long) tokens, 1, isUsable, Double.POSITIVE_INFINITY));
    }
    reports.addLast(states);
    if (reports.size() > REPORT_DELAY) {
      book.setHeads(reports.removeFirst(), nanos());
    } else {
      List<HeadState> unknown = new ArrayList<>();
      states.forEach(
          state ->
              unknown.add(
                  new HeadState(
                      state.id(), "z", 0, 0, 1, state.isUsable(), Double.POSITIVE_INFINITY)));
      book.setHeads(unknown, nanos());
    }
  }

  private void renew() {
    Set<Long> numbers = new HashSet<>();
    for (long number = silentBelow; number < nextNumber; number++) {
      numbers.add(number);
    }
    book.renew("p", numbers, nanos());
  }

  private void arrive() {
    while (!sources.isEmpty() && sources.peek().nextMs <= nowMs) {
      Source source = sources.poll();
      String account = source.accounts.get(random.nextInt(source.accounts.size()));
      ModelCall call =
          new ModelCall(
              account,
              source.priority,
              lognormal(MEAN_PROMPT * source.sizeFactor, 0.7, 4_000),
              lognormal(MEAN_EVENTS * source.sizeFactor, 0.7, 58),
              Math.exp(HINT_SIGMA * random.nextGaussian()),
              source.nextMs);
      calls.add(call);
      offer(call);
      source.nextMs -= Math.log(1 - random.nextDouble()) / source.perMs;
      if (source.nextMs < source.untilMs) {
        sources.add(source);
      }
    }
    for (int i = returning.size() - 1; i >= 0; i--) {
      if (returnMs.get(i) <= nowMs) {
        returnMs.remove(i);
        ModelCall call = returning.remove(i);
        call.sentMs = nowMs;
        offer(call);
      }
    }
  }

  private int lognormal(double mean, double sigma, int max) {
    double value = mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    return (int) Math.max(1, Math.min(max, Math.round(value)));
  }

  private void sendForeign() {
    if (random.nextDouble() < foreignPerMs * STEP_MS) {
      int events = lognormal(MEAN_EVENTS, 0.7, 58);
      ModelCall call = new ModelCall("", 5, lognormal(MEAN_PROMPT, 0.7, 4_000), events, 1, nowMs);
      keys.put(call, new RoomRequest.Key("other", FOREIGN_NUMBER));
      heads.get(random.nextInt(heads.size())).submit(call);
    }
  }

  private void offer(ModelCall call) {
    long number = nextNumber++;
    RoomRequest request = call.toRequest(number, nowMs);
    keys.put(call, request.key());
    byNumber.put(number, call);
    apply(book.offer(request, nanos()));
  }

  private void apply(List<RoomDecision> decisions) {
    for (RoomDecision decision : decisions) {
      ModelCall call = byNumber.get(decision.key().number());
      if (decision.isGranted()) {
        ModelHead head = heads.get(Integer.parseInt(decision.headId().substring(1)));
        if (!head.submit(call)) {
          apply(book.end(decision.key(), GrantEnd.REJECTED, nanos()));
        }
      } else {
        refusals.merge(decision.refusal(), 1, Integer::sum);
        double elapsedMs = nowMs - call.arrivedMs;
        call.isRefusedAgain |= call.hasReturned;
        boolean isWorthIt = decision.retryAfterMs() <= (ModelCall.DEADLINE_MS - elapsedMs) / 3;
        if (!call.hasReturned && isWorthIt) {
          call.hasReturned = true;
          returning.add(call);
          returnMs.add(nowMs + decision.retryAfterMs());
        }
      }
    }
  }

  long nanos() {
    return (long) (nowMs * 1e6);
  }

  /** Returns the share in time of the calls that arrived in the interval. */
  double shareInTime(Predicate<ModelCall> which, double fromMs, double untilMs) {
    return count(which.and(ModelCall::isInTime), fromMs, untilMs)
        / (double) count(which, fromMs, untilMs);
  }

  /** Returns the number of the calls that arrived in the interval. */
  long count(Predicate<ModelCall> which, double fromMs, double untilMs) {
    return calls.stream()
        .filter(call -> call.arrivedMs >= fromMs && call.arrivedMs < untilMs)
        .filter(which)
        .count();
  }

  /** Returns the number of calls that engines rejected. */
  int rejected() {
    return heads.stream().mapToInt(head -> head.rejected).sum();
  }
}
