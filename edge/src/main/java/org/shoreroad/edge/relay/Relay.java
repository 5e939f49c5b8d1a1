package org.shoreroad.edge.relay;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.edge.caller.AnswerChannel;
import org.shoreroad.edge.caller.CallerExchange;
import org.shoreroad.edge.caller.CallerRequest;
import org.shoreroad.edge.caller.HeaderNames;
import org.shoreroad.edge.http.UpstreamCalls;
import org.shoreroad.quarantine.CrashQuarantine;
import org.shoreroad.quarantine.PromptPart;
import org.shoreroad.routing.AttemptBudget;
import org.shoreroad.traffic.UpstreamService;

/**
 * Creates the exchanges and holds the objects that they share. Used on the event loop.
 *
 * @since 0.2
 */
public final class Relay implements CallerExchange.Factory {
  /** Delay before waiting requests are tried again. */
  private static final int WAITING_TICK_MS = 20;

  /** Interval between checks of the deadlines of requests. */
  private static final int TICK_MS = 100;

  /** Minimum time between two checks for silent heads: a fifth of a usual pass, which is 50 ms. */
  private static final int MIN_STALL_TICK_MS = 10;

  /**
   * Maximum time between two checks for silent heads. The stall timeout of a head whose first
   * request is opened right after a check is at least this long.
   */
  private static final int MAX_STALL_TICK_MS = 90;

  private final RepeatingTimer timer;
  private final LongSupplier clockNanos;
  private final RandomGenerator random;
  private final EventLog log;
  private final RelayCounters counters;
  private final HeaderNames headers;
  private final UpstreamCalls calls;
  private final UpstreamSelector selector;
  private final StallDetector stalls;
  private final ConfigurationSource configurationSource;
  private final RelayRules rules;
  private final RequestQuarantine quarantine;
  private final PartGuard partGuard;
  private final CrashMonitor crashMonitor;
  private final Backpressure backpressure;
  private final AnswerSizes answerSizes = new AnswerSizes();
  private final Map<String, AttemptBudget> budgets = new HashMap<>();
  private final Set<Exchange> open = new HashSet<>();
  private final Set<Exchange> waiting = new HashSet<>();
  private @Nullable TrafficMeter traffic;
  private int stallTickMs = MAX_STALL_TICK_MS;
  private boolean isWaitingTickScheduled;
  private boolean isPartUpdateScheduled;
  private boolean isQuarantineUpdateScheduled;
  private boolean isRefusingNew;
  private @Nullable RoomBroker roomBroker;
  private long acceptedCount;

  /** Creates a relay; {@link #start} starts its timers. */
  public Relay(
      EventLoop loop,
      LongSupplier clockNanos,
      RandomGenerator random,
      EventLog log,
      RelayCounters counters,
      HeaderNames headers,
      UpstreamCalls calls,
      UpstreamSelector selector,
      StallDetector stalls,
      ConfigurationSource configurationSource,
      RelayRules rules,
      RequestQuarantine quarantine,
      Backpressure backpressure) {
    this.timer = new RepeatingTimer(loop, log);
    this.clockNanos = clockNanos;
    this.random = random;
    this.log = log;
    this.counters = counters;
    this.headers = headers;
    this.calls = calls;
    this.selector = selector;
    this.stalls = stalls;
    this.configurationSource = configurationSource;
    this.rules = rules;
    this.quarantine = quarantine;
    this.backpressure = backpressure;
    quarantine.setListener(requests -> endQuarantined());
    this.partGuard = new PartGuard(clockNanos, log, counters);
    partGuard.setListener(this::endQuarantined);
    partGuard.setUpdateScheduler(this::schedulePartUpdate);
    quarantine.setUpdateScheduler(this::scheduleQuarantineUpdate);
    this.crashMonitor = new CrashMonitor(clockNanos, timer, log, counters, quarantine, partGuard);
  }

  /** Sets the broker that asks for room at the heads of engines; without it none is asked for. */
  public void setRoomBroker(RoomBroker broker) {
    roomBroker = broker;
  }

  /** Returns the broker for room, or null if each process chooses by itself. */
  @Nullable RoomBroker roomBroker() {
    return roomBroker;
  }

  /** Sets the meter of the requests for each model; without it, none are counted. */
  public void setTraffic(TrafficMeter newTraffic) {
    traffic = newTraffic;
  }

  /** Starts the periodic checks of open requests and of silent heads. */
  public void start() {
    timer.every(TICK_MS, "relay", this::tick);
    timer.every(() -> stallTickMs, "silent heads", this::findStalled);
  }

  @Override
  public CallerExchange begin(CallerRequest request, AnswerChannel answers) {
    acceptedCount++;
    Exchange exchange = new Exchange(this, request, answers);
    open.add(exchange);
    exchange.start();
    return exchange;
  }

  /** Refuses new requests from now on, so that open ones can end in time. */
  public void refuseNew() {
    isRefusingNew = true;
  }

  /** Ends all requests because the process ends. */
  public void endAll() {
    for (Exchange exchange : open.toArray(new Exchange[0])) {
      exchange.onProcessEnd();
    }
  }

  /** Returns the number of requests that were received completely, ended and open ones. */
  public long acceptedCount() {
    return acceptedCount;
  }

  /** Returns the number of requests that are not answered yet. */
  public int openCount() {
    return open.size();
  }

  private void tick() {
    for (Exchange exchange : open.toArray(new Exchange[0])) {
      exchange.onTick();
    }
    calls.sweep();
    updateParts();
  }

  private void schedulePartUpdate() {
    if (!isPartUpdateScheduled) {
      isPartUpdateScheduled = true;
      timer.once(
          partGuard.settleMs() + 1,
          "prompt parts",
          () -> {
            isPartUpdateScheduled = false;
            updateParts();
          });
    }
  }

  private void scheduleQuarantineUpdate() {
    if (!isQuarantineUpdateScheduled) {
      isQuarantineUpdateScheduled = true;
      timer.once(
          CrashQuarantine.SETTLE_MS + 1,
          "quarantine",
          () -> {
            isQuarantineUpdateScheduled = false;
            quarantine.update();
          });
    }
  }

  private void updateParts() {
    if (partGuard.hasSuspects()) {
      Set<PromptPart> beingWritten = new HashSet<>();
      open.forEach(exchange -> exchange.recordWriting(beingWritten));
      partGuard.update(beingWritten);
    }
  }

  private void endQuarantined() {
    for (Exchange exchange : open.toArray(new Exchange[0])) {
      exchange.onQuarantined();
    }
  }

  private void findStalled() {
    if (open.isEmpty()) {
      stallTickMs = MAX_STALL_TICK_MS;
      return;
    }
    long nextMs = TimeUnit.NANOSECONDS.toMillis(stalls.findStalled()) + 1;
    stallTickMs = (int) Math.max(MIN_STALL_TICK_MS, Math.min(MAX_STALL_TICK_MS, nextMs));
  }

  /**
   * Adds a request that waits for a free slot at an upstream, or whose answer is paused, to be
   * tried again after a short delay.
   */
  void addWaiting(Exchange exchange) {
    waiting.add(exchange);
    if (!isWaitingTickScheduled) {
      isWaitingTickScheduled = true;
      timer.once(WAITING_TICK_MS, "waiting", this::tickWaiting);
    }
  }

  private void tickWaiting() {
    isWaitingTickScheduled = false;
    Exchange[] due = waiting.toArray(new Exchange[0]);
    waiting.clear();
    for (Exchange exchange : due) {
      exchange.onTick();
    }
  }

  boolean isRefusingNew() {
    return isRefusingNew;
  }

  void remove(Exchange exchange) {
    open.remove(exchange);
    waiting.remove(exchange);
  }

  AttemptBudget budgetOf(String service) {
    return budgets.computeIfAbsent(
        service,
        name ->
            new AttemptBudget(
                rules.repeatRatio(), rules.repeatSlack(), rules.repeatWindowSeconds()));
  }

  long nowNanos() {
    return clockNanos.getAsLong();
  }

  RandomGenerator random() {
    return random;
  }

  EventLog log() {
    return log;
  }

  RelayCounters counters() {
    return counters;
  }

  HeaderNames headers() {
    return headers;
  }

  UpstreamCalls calls() {
    return calls;
  }

  /** Returns the monitor of upstreams that may have crashed. */
  public CrashMonitor crashMonitor() {
    return crashMonitor;
  }

  /** Returns the meter of the requests for each model, or null if they are not counted. */
  @Nullable TrafficMeter traffic() {
    return traffic;
  }

  UpstreamSelector selector() {
    return selector;
  }

  RequestQuarantine quarantine() {
    return quarantine;
  }

  /** Returns the guard against prompt parts that crash upstreams. */
  public PartGuard partGuard() {
    return partGuard;
  }

  Backpressure backpressure() {
    return backpressure;
  }

  /** Returns the connections of this process to one upstream that the service permits. */
  int maxConnections(UpstreamService service) {
    // They are divided among all processes.
    int connections = Math.max(2, service.maxConnections() / configurationSource.processCount());
    return service.maxConnections() == 0 ? Integer.MAX_VALUE : connections;
  }

  /** Returns the sizes of the answers of each route. */
  AnswerSizes answerSizes() {
    return answerSizes;
  }

  ConfigurationSource configurationSource() {
    return configurationSource;
  }
}
