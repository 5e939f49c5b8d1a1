package org.shoreroad.edge.replica;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.BoxOrder;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.ModelShape;

/**
 * Fabric domain whose events reach the owner in another order than they happened: each report, each
 * answer to an order and each entry of the list has a delay of its own, drawn by seed. Orders may
 * be carried out seconds later and without an answer. Not simulated: orders that are carried out
 * late and answered, fences, another owner, restarts under the same id, evacuations.
 */
final class SimulatedDomain implements Engines {
  static final String NAME = "d";
  static final long STEP_NANOS = millis(10);
  private static final long REPORT_LAG_NANOS = millis(200);
  private static final long REPORT_TIMEOUT_NANOS = millis(120);
  private static final long ORDER_TIMEOUT_NANOS = millis(700);
  private static final long ENTRY_LAPSE_NANOS = millis(3_600);
  private static final long STALE_LISTING_NANOS = millis(3_000);
  private static final long NEVER = Long.MIN_VALUE / 2;

  private static final EngineSpec SPEC =
      new EngineSpec(
          18,
          969_230,
          6.07,
          0.348,
          0.007,
          46_000,
          2_048,
          5,
          4,
          6,
          (int) TimeUnit.NANOSECONDS.toMillis(REPORT_LAG_NANOS),
          List.of(
              new ModelShape("large", 4, 0.67, 1, 3, 1.6),
              new ModelShape("small", 2, 0.33, 0.6, 2, 1.1)));

  private final Random random;
  private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
  private final List<WrittenRecord> log = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Deque<Runnable> arrivals = new ArrayDeque<>();
  private final Deque<Runnable> timeouts = new ArrayDeque<>();
  private final Map<String, Long> unreachableUntilNanos = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private int nextEvent;
  private int nextRecord;
  private int nextBox;
  private double lateOrderFraction;
  private double slowAnswerFraction;
  private long listLagNanos;
  private long listSilentUntilNanos = NEVER;

  SimulatedDomain(Random random) {
    this.random = random;
  }

  static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  static EngineSpec spec() {
    return SPEC;
  }

  /** Returns a box as it was written to the list; an entry holds its number in the list. */
  FleetBox decode(String id, byte[] entry) {
    return Objects.requireNonNull(
        log.get(Integer.parseInt(new String(entry, StandardCharsets.US_ASCII))).box());
  }

  long nowNanos() {
    return nowNanos;
  }

  List<String> violations() {
    return violations;
  }

  void addViolation(String text) {
    violations.add(TimeUnit.NANOSECONDS.toMillis(nowNanos) + " ms: " + text);
  }

  @Nullable SimulatedEngine find(String id) {
    return engines.get(id);
  }

  List<SimulatedEngine> running() {
    return engines.values().stream().filter(SimulatedEngine::isAlive).toList();
  }

  long countOpen(String model) {
    return engines.values().stream().filter(engine -> engine.isOpenHeadOf(model)).count();
  }

  ModelShape shapeOf(String model) {
    return SPEC.findModel(model).orElseThrow();
  }

  long loadNanos(String model) {
    return (long) (shapeOf(model).loadSeconds() * 1e9);
  }

  /** Returns the time that the running requests of a closing head still take. */
  long workNanos() {
    return millis(random.nextInt(2_500));
  }

  void addBox() {
    String id = "i-" + nextBox++;
    engines.put(id, new SimulatedEngine(this, id));
  }

  /** Lets a box announce its end, and end some seconds later. */
  void drain(SimulatedEngine engine, long delayNanos) {
    engine.announceLeaving();
    at(delayNanos, () -> crash(engine));
  }

  /** Ends a box; its entry lapses later. */
  void crash(SimulatedEngine engine) {
    engine.end();
    at(ENTRY_LAPSE_NANOS, () -> lapse(engine.id()));
  }

  /** Removes the entry of a running box, and writes it again after a time. */
  void cutFromList(SimulatedEngine engine, long forNanos) {
    at(ENTRY_LAPSE_NANOS, () -> lapse(engine.id()));
    at(
        ENTRY_LAPSE_NANOS + forNanos,
        () -> {
          if (engine.isAlive()) {
            write(engine.boxAt(nowNanos));
          }
        });
  }

  private void lapse(String id) {
    log.add(new WrittenRecord(nowNanos, id, null));
  }

  /** Cuts the path between the owner and a box for a time; the box works on. */
  void cutPath(SimulatedEngine engine, long forNanos) {
    unreachableUntilNanos.put(engine.id(), nowNanos + forNanos);
  }

  /** Sets the fraction of the orders that get no answer and are carried out seconds later. */
  void setLateOrderFraction(double fraction) {
    lateOrderFraction = fraction;
  }

  /** Sets the fraction of the orders whose answers take up to their timeout. */
  void setSlowAnswerFraction(double fraction) {
    slowAnswerFraction = fraction;
  }

  /** Sets how long ago the state was written that the owner reads from the list. */
  void setListLagNanos(long nanos) {
    listLagNanos = nanos;
  }

  /** Writes the state of a box to the list. */
  void write(FleetBox box) {
    log.add(new WrittenRecord(nowNanos, box.id(), box));
  }

  /** Advances the engines and the network by one step. */
  void step() {
    nowNanos += STEP_NANOS;
    while (!events.isEmpty() && events.peek().atNanos() <= nowNanos) {
      events.remove().task().run();
    }
    engines.values().forEach(SimulatedEngine::step);
  }

  /** Delivers to the owner what has arrived, records of the list included. */
  void deliverTo(Fleet fleet) {
    deliverAll(arrivals);
    deliverAll(timeouts);
    long readableNanos = nowNanos - Math.max(STEP_NANOS, listLagNanos);
    while (nowNanos >= listSilentUntilNanos
        && nextRecord < log.size()
        && log.get(nextRecord).atNanos() <= readableNanos) {
      deliverRecord(fleet, nextRecord++);
    }
  }

  private static void deliverAll(Deque<Runnable> tasks) {
    while (!tasks.isEmpty()) {
      tasks.remove().run();
    }
  }

  private void deliverRecord(Fleet fleet, int number) {
    WrittenRecord written = log.get(number);
    byte[] value =
        written.box() == null ? null : Integer.toString(number).getBytes(StandardCharsets.US_ASCII);
    fleet.onRecord(new StoreRecord(StorePosition.of(1, number), written.id(), value));
  }

  /** Lists all boxes again, as the list was three seconds ago; later records follow in a second. */
  void listStale(Fleet fleet) {
    Map<String, Integer> newest = new LinkedHashMap<>();
    int end = 0;
    while (end < log.size() && log.get(end).atNanos() <= nowNanos - STALE_LISTING_NANOS) {
      newest.put(log.get(end).id(), end++);
    }
    newest.values().removeIf(number -> log.get(number).box() == null);
    newest.values().forEach(number -> deliverRecord(fleet, number));
    fleet.onListed(Set.copyOf(newest.keySet()), StorePosition.of(1, end));
    nextRecord = end;
    listSilentUntilNanos = nowNanos + millis(1_000);
  }

  /** Returns the state that another process gets when it asks a box now, or null. */
  @Nullable FleetBox reportToPeer(String id) {
    SimulatedEngine engine = engines.get(id);
    return engine == null || !engine.isAlive() ? null : engine.boxAt(nowNanos - REPORT_LAG_NANOS);
  }

  /** Runs a task after a delay, on the network. */
  void at(long delayNanos, Runnable task) {
    events.add(new Event(nowNanos + delayNanos, nextEvent++, task));
  }

  /** Lets a message arrive at the owner after a delay. */
  void sendToOwner(long delayNanos, Runnable task) {
    at(delayNanos, () -> arrivals.add(task));
  }

  private boolean isUnreachable(String id) {
    return nowNanos < unreachableUntilNanos.getOrDefault(id, NEVER);
  }

  private long shortDelayNanos() {
    return random.nextInt(10) == 0 ? millis(random.nextInt(60)) : millis(random.nextInt(5));
  }

  @Override
  public void requestReport(FleetBox box, ReportCallback callback) {
    SimulatedEngine engine = engines.get(box.id());
    Once once = new Once();
    at(REPORT_TIMEOUT_NANOS, () -> timeouts.add(once.guard(() -> fail(callback))));
    if (engine == null || isUnreachable(box.id())) {
      return;
    }
    at(
        shortDelayNanos(),
        () -> {
          if (engine.isAlive()) {
            FleetBox state = engine.boxAt(nowNanos - REPORT_LAG_NANOS);
            FleetBox report =
                box.withEngineState(state.model(), state.stagedModels(), state.membership());
            sendToOwner(shortDelayNanos(), once.guard(() -> callback.onReport(report)));
          }
        });
  }

  private static void fail(ReportCallback callback) {
    callback.onFailure(ReportFailure.NO_ANSWER);
  }

  @Override
  public void order(FleetBox box, BoxOrder order, long fence, OrderCallback callback) {
    SimulatedEngine engine = engines.get(box.id());
    Once once = new Once();
    at(
        ORDER_TIMEOUT_NANOS,
        () -> timeouts.add(once.guard(() -> callback.onOutcome(OrderOutcome.UNANSWERED))));
    if (engine == null || isUnreachable(box.id())) {
      return;
    }
    if (random.nextDouble() < lateOrderFraction) {
      at(millis(2_000 + random.nextInt(10_000)), () -> executeIfAlive(engine, order));
      return;
    }
    at(
        shortDelayNanos(),
        () -> {
          OrderOutcome outcome = executeIfAlive(engine, order);
          boolean isSlow = random.nextDouble() < slowAnswerFraction;
          long delayNanos = isSlow ? millis(random.nextInt(690)) : shortDelayNanos();
          if (outcome != OrderOutcome.UNANSWERED) {
            sendToOwner(delayNanos, once.guard(() -> callback.onOutcome(outcome)));
          }
        });
  }

  private static OrderOutcome executeIfAlive(SimulatedEngine engine, BoxOrder order) {
    return engine.isAlive() ? engine.execute(order) : OrderOutcome.UNANSWERED;
  }

  /** Runs only the first of several tasks, such as an answer and its timeout. */
  private static final class Once {
    private boolean isDone;

    Runnable guard(Runnable task) {
      return () -> {
        if (!isDone) {
          isDone = true;
          task.run();
        }
      };
    }
  }

  private record WrittenRecord(long atNanos, String id, @Nullable FleetBox box) {}

  private record Event(long atNanos, int number, Runnable task) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime == 0 ? Integer.compare(number, other.number) : byTime;
    }
  }
}
