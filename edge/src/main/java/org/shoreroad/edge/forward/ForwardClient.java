package org.shoreroad.edge.forward;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.edge.caller.HeldBytes;
import org.shoreroad.edge.http.CallListener;
import org.shoreroad.edge.http.UpstreamCall;
import org.shoreroad.edge.peer.PeerLink;
import org.shoreroad.edge.relay.RelayCounters;
import org.shoreroad.fleet.FleetBox;

/**
 * Client of the other processes that sends calls to upstreams through them.
 *
 * <p>Which of them have a path to an upstream is found by sending calls: a process without a path
 * refuses them at once. A few that have one share the calls of this process. Not thread-safe: used
 * on the event loop.
 *
 * @since 0.2
 */
public final class ForwardClient implements HeldBytes.Source {
  private static final int TICK_MS = 100;

  /** Number of processes that share the calls of this one. */
  private static final int WANTED_FORWARDERS = 4;

  /** Maximum number of processes asked about one upstream. */
  private static final int MAX_PROBES = 2;

  /** Time for which no process is asked after none of them could send a call. */
  private static final long NONE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time for which the list of the other processes is used again. */
  private static final long PEERS_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final int CONNECT_TIMEOUT_MS = 200;

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final RandomGenerator random;
  private final EventLog log;
  private final RelayCounters counters;
  private final Supplier<Map<String, String>> peers;
  private final Map<String, Forwarder> forwarders = new HashMap<>();
  private final Map<String, Long> noneUntilNanos = new HashMap<>();
  private Map<String, String> knownPeers = Map.of();
  private long peersReadNanos = Long.MIN_VALUE / 2;
  private long lastNumber;

  /**
   * Creates a client without connections.
   *
   * @param peers supplies the addresses of the other processes that seem alive by name, not null
   */
  public ForwardClient(
      EventLoop loop,
      LongSupplier clockNanos,
      RandomGenerator random,
      EventLog log,
      RelayCounters counters,
      Supplier<Map<String, String>> peers) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.random = random;
    this.log = log;
    this.counters = counters;
    this.peers = peers;
  }

  /** Returns the bytes of requests that wait to be sent to other processes. */
  @Override
  public long requestBytes() {
    return forwarders.values().stream().mapToLong(Forwarder::pendingBytes).sum();
  }

  /** Returns 0, since answers from other processes are held for callers. */
  @Override
  public long answerBytes() {
    return 0;
  }

  /** Starts the periodic check of the connections. */
  public void start() {
    new RepeatingTimer(loop, log).every(TICK_MS, "forwarders", this::tick);
  }

  private void tick() {
    List.copyOf(forwarders.values()).forEach(Forwarder::checkLink);
    long nowNanos = clockNanos.getAsLong();
    forwarders.values().removeIf(forwarder -> forwarder.closeIfIdle(nowNanos));
  }

  /**
   * Sends a request through another process.
   *
   * @param box the upstream, not null
   * @param request the request, released by this client, not null
   * @param maxConnections the connections to the upstream that this process may have
   * @param listener the listener to the progress of the call, not null. {@link
   *     CallListener#onSending} may be followed by a failure that nothing was sent
   */
  public UpstreamCall send(
      FleetBox box, FullHttpRequest request, int maxConnections, CallListener listener) {
    ForwardedCall call =
        new ForwardedCall(this, ++lastNumber, box, request, maxConnections, listener);
    counters.count("shoreroad.calls.forwarded", box.service());
    // Not at once, since the listener expects no failure before it has the call.
    loop.execute(call::start);
    return call;
  }

  /** Returns true if another process may be able to send calls to the service. */
  public boolean hasForwarder(String service) {
    long untilNanos = noneUntilNanos.getOrDefault(service, Long.MIN_VALUE / 2);
    return !peers().isEmpty() && clockNanos.getAsLong() - untilNanos >= 0;
  }

  /**
   * Asks other processes whether they can connect to an upstream.
   *
   * @param callback called with the outcome, {@link ProbeOutcome#UNABLE} if none could try
   */
  public void probe(FleetBox box, Consumer<ProbeOutcome> callback) {
    probe(box, new HashSet<>(), callback);
  }

  private void probe(FleetBox box, Set<String> tried, Consumer<ProbeOutcome> callback) {
    Forwarder next = tried.size() >= MAX_PROBES ? null : choose(box.service(), tried);
    if (next == null) {
      callback.accept(ProbeOutcome.UNABLE);
      return;
    }
    tried.add(next.name());
    next.probe(
        ++lastNumber,
        box.id(),
        outcome -> {
          if (outcome == ProbeOutcome.UNABLE) {
            probe(box, tried, callback);
          } else {
            callback.accept(outcome);
          }
        });
  }

  /**
   * Returns a process that may have a path to the service: the one with the fewest calls of this
   * process among those known to have one, or another one while too few are known. A process that
   * has not answered yet is returned only if there is no other.
   *
   * @param tried the names of the processes that don't count, not null
   * @return the process, or null if there is none
   */
  @Nullable Forwarder choose(String service, Set<String> tried) {
    List<Forwarder> able = new ArrayList<>();
    List<Forwarder> untested = new ArrayList<>();
    List<String> unconnected = new ArrayList<>();
    List<String> failed = new ArrayList<>();
    for (String name : peers().keySet()) {
      if (tried.contains(name) || isUnable(name, service)) {
        continue;
      }
      Forwarder known = forwarders.get(name);
      if (known != null && known.hasFailedRecently()) {
        failed.add(name);
      } else if (known == null || !known.isAnswering()) {
        unconnected.add(name);
      } else if (known.isAble(service)) {
        able.add(known);
      } else {
        untested.add(known);
      }
    }
    if (able.size() < WANTED_FORWARDERS && !untested.isEmpty()) {
      return untested.get(random.nextInt(untested.size()));
    }
    if (able.size() < WANTED_FORWARDERS && !unconnected.isEmpty()) {
      Forwarder next = forwarderOf(unconnected.get(random.nextInt(unconnected.size())));
      if (able.isEmpty()) {
        return next;
      }
      next.greet();
    }
    if (able.isEmpty() && !failed.isEmpty()) {
      return forwarderOf(failed.get(random.nextInt(failed.size())));
    }
    if (able.isEmpty()) {
      recordNone(service, tried);
      return null;
    }
    return leastLoaded(able);
  }

  private static Forwarder leastLoaded(List<Forwarder> able) {
    Forwarder least = able.get(0);
    for (Forwarder forwarder : able) {
      if (forwarder.openCount() < least.openCount()) {
        least = forwarder;
      }
    }
    return least;
  }

  /** Records that no process is left, unless one of those tried may send another call. */
  private void recordNone(String service, Set<String> tried) {
    if (tried.stream().allMatch(name -> isUnable(name, service) || hasFailed(name))) {
      noneUntilNanos.put(service, clockNanos.getAsLong() + NONE_NANOS);
    }
  }

  private Forwarder forwarderOf(String name) {
    return forwarders.computeIfAbsent(
        name, added -> new Forwarder(added, peers().get(added), this));
  }

  private boolean hasFailed(String name) {
    Forwarder known = forwarders.get(name);
    return known != null && known.hasFailedRecently();
  }

  private boolean isUnable(String name, String service) {
    Forwarder known = forwarders.get(name);
    return known != null && known.isUnable(service);
  }

  /** Returns the addresses of the other processes by name, of a short time ago at most. */
  private Map<String, String> peers() {
    long nowNanos = clockNanos.getAsLong();
    if (nowNanos - peersReadNanos > PEERS_NANOS) {
      peersReadNanos = nowNanos;
      knownPeers = peers.get();
    }
    return knownPeers;
  }

  /** Creates a link to a process. */
  PeerLink newLink(String address, PeerLink.Listener listener) {
    return new PeerLink(loop, clockNanos, address, listener, CONNECT_TIMEOUT_MS);
  }

  long nowNanos() {
    return clockNanos.getAsLong();
  }

  EventLog log() {
    return log;
  }
}
