package org.shoreroad.edge.path;

import java.util.ArrayList;
import java.util.Collection;
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
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.relay.PathCheck;
import org.shoreroad.edge.relay.RelayCounters;
import org.shoreroad.fleet.FleetBox;

/**
 * Detects which upstreams this process has no network path to.
 *
 * <p>A failed call does not show whether the upstream or the path to it has failed. So when calls
 * to a service are silent, or a connection is not established, this class opens connections to a
 * sample of its upstreams. If none is established, the process has lost the path to the service;
 * its upstreams may be sound. A path that is lost is checked until connections are established
 * again. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class UpstreamPaths implements HttpCalls.ConnectListener, PathCheck {
  private static final int TICK_MS = 50;

  /** Time without a byte of a service with open calls after which its path is checked. */
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Time to open a connection after which the path is checked. */
  private static final long SLOW_CONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(80);

  /** Time for a connection of a check; the longest round trip between regions is below it. */
  private static final int CHECK_TIMEOUT_MS = 150;

  private static final long MIN_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Interval between checks while the path is lost, or while a service stays silent. */
  private static final long CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Upstreams in a check: few enough to be cheap, too many to be dead by chance. */
  private static final int SAMPLE = 4;

  private final HttpCalls calls;
  private final LongSupplier clockNanos;
  private final RandomGenerator random;
  private final EventLog log;
  private final RelayCounters counters;
  private final Supplier<Collection<FleetBox>> upstreams;
  private final RepeatingTimer timer;
  private final Map<String, ServicePath> services = new HashMap<>();
  private final Map<String, Path> paths = new HashMap<>();
  private final Set<Path> connecting = new HashSet<>();
  private final Set<Path> lost = new HashSet<>();
  private Consumer<String> lossListener = service -> {};
  private Consumer<String> idleEndListener = address -> {};
  private long recheckedNanos = Long.MIN_VALUE / 2;

  /** Path to one address. */
  private static final class Path {
    private final String address;
    private final ServicePath service;
    private int connectingCount;
    private long connectingSinceNanos;

    Path(String address, ServicePath service) {
      this.address = address;
      this.service = service;
    }
  }

  /** Check of the path to a service by connections to a sample of its upstreams. */
  private static final class Check {
    private final ServicePath service;
    private final int total;
    private final List<String> unreached = new ArrayList<>();
    private int reached;

    Check(ServicePath service, int total) {
      this.service = service;
      this.total = total;
    }

    boolean isDone() {
      return reached + unreached.size() == total;
    }
  }

  /**
   * Creates an instance to which all paths are sound.
   *
   * @param calls the client whose connections show the paths, not null
   * @param upstreams supplies the listed upstreams, not null
   */
  public UpstreamPaths(
      HttpCalls calls,
      LongSupplier clockNanos,
      RandomGenerator random,
      EventLog log,
      RelayCounters counters,
      RepeatingTimer timer,
      Supplier<Collection<FleetBox>> upstreams) {
    this.calls = calls;
    this.clockNanos = clockNanos;
    this.random = random;
    this.log = log;
    this.counters = counters;
    this.timer = timer;
    this.upstreams = upstreams;
    calls.setConnectListener(this);
  }

  /** Starts the periodic checks. */
  public void start() {
    timer.every(TICK_MS, "upstream paths", this::tick);
  }

  /**
   * Sets the listener for the loss of the path to all upstreams of a service.
   *
   * @param listener called with the name of the service, not null
   */
  public void setLossListener(Consumer<String> listener) {
    lossListener = listener;
  }

  /**
   * Sets the listener for idle connections that upstreams have ended.
   *
   * @param listener called with the address, not null
   */
  public void setIdleEndListener(Consumer<String> listener) {
    idleEndListener = listener;
  }

  /** Returns true if this process has no path to the upstream. */
  public boolean isLost(FleetBox box) {
    if (isServiceLost(box.service())) {
      return true;
    }
    Path path = paths.get(box.address());
    return path != null && lost.contains(path);
  }

  /** Returns true if this process has no path to any upstream of the service. */
  public boolean isServiceLost(String service) {
    ServicePath path = services.get(service);
    return path != null && path.isLost();
  }

  /** Returns true if this process has had no path to any upstream of the service for the time. */
  public boolean isServiceLostFor(String service, long nanos) {
    ServicePath path = services.get(service);
    return path != null && path.isLost() && path.lostNanos(clockNanos.getAsLong()) > nanos;
  }

  /** Returns the number of services to which this process has no path. */
  public long lostServices() {
    return services.values().stream().filter(ServicePath::isLost).count();
  }

  /** Returns the path to the service of an upstream, to which a call begins. */
  ServicePath register(FleetBox box) {
    ServicePath service = serviceOf(box.service());
    paths.computeIfAbsent(box.address(), address -> new Path(address, service));
    return service;
  }

  private ServicePath serviceOf(String service) {
    return services.computeIfAbsent(service, ServicePath::new);
  }

  @Override
  public void confirm(String service, long sinceNanos, Consumer<Boolean> callback) {
    ServicePath path = serviceOf(service);
    if (path.isLost()) {
      callback.accept(false);
    } else if (path.hasReceivedSince(sinceNanos)) {
      callback.accept(true);
    } else {
      check(path, null);
      if (path.isChecking()) {
        path.awaitCheck(callback);
      } else {
        callback.accept(path.wasReached());
      }
    }
  }

  @Override
  public void suspect(FleetBox box) {
    check(register(box), box.address());
  }

  @Override
  public void onConnecting(String address) {
    Path path = paths.get(address);
    if (path != null) {
      if (path.connectingCount == 0) {
        path.connectingSinceNanos = clockNanos.getAsLong();
        connecting.add(path);
      }
      path.connectingCount++;
    }
  }

  @Override
  public void onConnected(String address, boolean isSuccess) {
    Path path = paths.get(address);
    if (path == null) {
      return;
    }
    path.connectingCount = Math.max(0, path.connectingCount - 1);
    path.connectingSinceNanos = clockNanos.getAsLong();
    if (path.connectingCount == 0) {
      connecting.remove(path);
    }
    recordConnection(path, isSuccess);
  }

  @Override
  public void onProbed(String address, boolean isSuccess) {
    Path path = paths.get(address);
    if (path != null) {
      recordConnection(path, isSuccess);
    }
  }

  @Override
  public void onIdleEnded(String address) {
    idleEndListener.accept(address);
  }

  private void recordConnection(Path path, boolean isSuccess) {
    if (isSuccess) {
      lost.remove(path);
    } else if (lost.add(path)) {
      check(path.service, path.address);
    }
  }

  private void tick() {
    long nowNanos = clockNanos.getAsLong();
    for (ServicePath service : List.copyOf(services.values())) {
      boolean isSilent = service.silentNanos(nowNanos) > SILENCE_NANOS;
      boolean isDue = service.sinceCheckNanos(nowNanos) > CHECK_INTERVAL_NANOS;
      if (isDue && (isSilent || service.isLost())) {
        check(service, null);
      }
    }
    for (Path path : List.copyOf(connecting)) {
      boolean isSlow = nowNanos - path.connectingSinceNanos > SLOW_CONNECT_NANOS;
      // A path that is known to be lost needs no other check.
      if (isSlow && !lost.contains(path)) {
        check(path.service, path.address);
      }
    }
    if (nowNanos - recheckedNanos > CHECK_INTERVAL_NANOS) {
      recheckedNanos = nowNanos;
      recheckLost();
    }
  }

  /** Tries a single path that is lost, and forgets those to unlisted addresses. */
  private void recheckLost() {
    if (lost.isEmpty()) {
      return;
    }
    Set<String> listed = new HashSet<>();
    upstreams.get().forEach(box -> listed.add(box.address()));
    paths.values().removeIf(path -> !listed.contains(path.address));
    lost.removeIf(path -> !listed.contains(path.address));
    connecting.removeIf(path -> !listed.contains(path.address));
    probeLost(1);
  }

  /** Tries some of the single paths that are lost, and more of them if one is sound again. */
  private void probeLost(int count) {
    List<String> single = new ArrayList<>();
    for (Path path : lost) {
      if (!path.service.isLost()) {
        single.add(path.address);
      }
    }
    List<String> drawn = draw(single, null);
    for (String address : drawn.subList(0, Math.min(count, drawn.size()))) {
      calls.probe(address, CHECK_TIMEOUT_MS, failure -> probeMoreIfSound(failure == null));
    }
  }

  private void probeMoreIfSound(boolean isSound) {
    if (isSound) {
      probeLost(SAMPLE);
    }
  }

  private void check(ServicePath service, @Nullable String suspect) {
    long nowNanos = clockNanos.getAsLong();
    if (service.isChecking() || service.sinceCheckNanos(nowNanos) < MIN_CHECK_INTERVAL_NANOS) {
      return;
    }
    List<String> addresses = new ArrayList<>();
    for (FleetBox box : upstreams.get()) {
      if (box.service().equals(service.service()) && !box.isLeaving()) {
        addresses.add(box.address());
      }
    }
    List<String> sample = draw(addresses, suspect);
    if (sample.isEmpty()) {
      return;
    }
    service.startCheck(nowNanos);
    counters.count("shoreroad.paths.checked", service.service());
    Check check = new Check(service, sample.size());
    for (String address : sample) {
      paths.computeIfAbsent(address, added -> new Path(added, service));
      calls.probe(
          address, CHECK_TIMEOUT_MS, failure -> recordProbe(check, address, failure == null));
    }
  }

  /** Returns a random sample, which includes the suspected address if it is one of them. */
  private List<String> draw(List<String> addresses, @Nullable String suspect) {
    List<String> left = new ArrayList<>(addresses);
    List<String> drawn = new ArrayList<>();
    if (suspect != null && left.remove(suspect)) {
      drawn.add(suspect);
    }
    while (drawn.size() < SAMPLE && !left.isEmpty()) {
      drawn.add(left.remove(random.nextInt(left.size())));
    }
    return drawn;
  }

  private void recordProbe(Check check, String address, boolean isReached) {
    if (isReached) {
      check.reached++;
    } else {
      check.unreached.add(address);
    }
    if (!check.isDone()) {
      return;
    }
    ServicePath service = check.service;
    if (check.reached == 0) {
      markLost(service);
    } else if (service.isLost() && check.reached >= check.unreached.size()) {
      markRestored(service, check.unreached);
    }
    service.endCheck(check.reached > 0);
  }

  private void markLost(ServicePath service) {
    if (service.isLost()) {
      return;
    }
    service.markLost(clockNanos.getAsLong());
    log.write("path_lost", "service", service.service());
    counters.count("shoreroad.paths.lost", service.service());
    lossListener.accept(service.service());
    Set<String> others = new HashSet<>();
    for (FleetBox box : List.copyOf(upstreams.get())) {
      if (box.service().equals(service.service())) {
        calls.failConnecting(box.address());
      } else {
        others.add(box.service());
      }
    }
    // What cut this process off from one service often cuts it off from others too.
    others.forEach(other -> check(serviceOf(other), null));
  }

  private void markRestored(ServicePath service, List<String> unreached) {
    service.markRestored();
    lost.removeIf(path -> path.service == service && !unreached.contains(path.address));
    log.write("path_restored", "service", service.service());
  }
}
