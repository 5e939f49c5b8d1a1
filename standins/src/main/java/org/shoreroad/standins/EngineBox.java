package org.shoreroad.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * The engine of one box: its loads, its running requests and the faults it was told to have.
 *
 * <p>A request runs only at the head of a load. The engine itself does not look whether the other
 * boxes are there, so that a wrong dispatch shows in the history. Thread-safe.
 */
final class EngineBox {
  private final String name;
  private final boolean isFenced;
  private final EngineHistory history;
  private final Map<String, Load> loads = new LinkedHashMap<>();
  private final Map<String, EngineRun> runs = new ConcurrentHashMap<>();
  private final LaggingCount runningCount = new LaggingCount();
  private final CacheEvents cacheEvents = new CacheEvents();
  private String bootId = UUID.randomUUID().toString();
  private long highestFence;
  private volatile boolean isDead;
  private volatile boolean isFrozen;
  private volatile long tokenDelayMs;
  private volatile long loadDelayMs;
  private volatile int cutAfterTokens;

  private record Load(String name, long readyNanos, AtomicInteger running) {}

  EngineBox(
      String name, boolean isFenced, long tokenDelayMs, long loadDelayMs, EngineHistory history) {
    this.name = name;
    this.isFenced = isFenced;
    this.tokenDelayMs = tokenDelayMs;
    this.loadDelayMs = loadDelayMs;
    this.history = history;
  }

  String name() {
    return name;
  }

  boolean isDead() {
    return isDead;
  }

  long tokenDelayMs() {
    return tokenDelayMs;
  }

  void setTokenDelayMs(long ms) {
    tokenDelayMs = ms;
  }

  void setLoadDelayMs(long ms) {
    loadDelayMs = ms;
  }

  /** Makes the connection of each next request break after so many tokens, 0 for never. */
  void setCutAfterTokens(int tokens) {
    cutAfterTokens = tokens;
  }

  int cutAfterTokens() {
    return cutAfterTokens;
  }

  /** The engine dies: everything it held is gone. */
  synchronized void kill() {
    isDead = true;
    loads.clear();
    runs.clear();
    history.add(name, "kill", "", "");
  }

  /** The engine starts anew. */
  synchronized void revive() {
    bootId = UUID.randomUUID().toString();
    isDead = false;
    history.add(name, "boot", "", "");
  }

  void setFrozen(boolean frozen) {
    isFrozen = frozen;
  }

  /** Waits while the engine is frozen. */
  void awaitThaw() throws InterruptedException {
    while (isFrozen) {
      Thread.sleep(5);
    }
  }

  synchronized Map<String, Object> health() {
    List<Object> list = new ArrayList<>();
    long now = System.nanoTime();
    for (Load load : loads.values()) {
      list.add(
          Map.of(
              "name", load.name(),
              "state", now - load.readyNanos() >= 0 ? "ready" : "loading",
              "running", load.running().get()));
    }
    return Map.of(
        "box", name, "boot_id", bootId, "loads", list, "running", runningCount.reported());
  }

  /** Takes a load order; returns false if its fencing number is refused. */
  synchronized boolean load(String loadName, long fence) {
    if (!passesFence(fence)) {
      history.add(name, "refused", loadName, "");
      return false;
    }
    long readyNanos = System.nanoTime() + loadDelayMs * 1_000_000;
    loads.putIfAbsent(loadName, new Load(loadName, readyNanos, new AtomicInteger()));
    history.add(name, "load", loadName, "");
    return true;
  }

  /** Takes an unload order; returns false if its fencing number is refused. */
  synchronized boolean unload(String loadName, long fence) {
    if (!passesFence(fence)) {
      history.add(name, "refused", loadName, "");
      return false;
    }
    if (loads.remove(loadName) != null) {
      history.add(name, "unload", loadName, "");
      runs.values().stream().filter(r -> r.loadName().equals(loadName)).forEach(EngineRun::fail);
    }
    return true;
  }

  private boolean passesFence(long fence) {
    if (!isFenced) {
      return true;
    }
    if (fence < highestFence) {
      return false;
    }
    highestFence = fence;
    return true;
  }

  /** Starts a request; returns null if nothing is loaded under the name. */
  synchronized @Nullable EngineRun start(String requestId, JsonNode body, long fence) {
    String loadName = body.path("model").asText();
    Load load = loads.get(loadName);
    boolean isStale = isFenced && fence < highestFence;
    if (load == null || isStale || System.nanoTime() - load.readyNanos() < 0) {
      history.add(name, "refused", loadName, requestId);
      return null;
    }
    EngineRun run = new EngineRun(this, requestId, loadName, body, history);
    history.add(name, "start", loadName, requestId, run.prompt());
    runs.put(requestId, run);
    runningCount.add(1);
    cacheEvents.add(run.prompt());
    load.running().incrementAndGet();
    run.setOnOver(
        () -> {
          runningCount.add(-1);
          load.running().decrementAndGet();
        });
    return run;
  }

  /** Returns what is known of the prompt cache after an event's number. */
  java.util.List<CacheEvents.Event> cacheEventsAfter(long number) {
    return cacheEvents.after(number);
  }

  /** Returns a run whose stream can still be taken up. */
  @Nullable EngineRun find(String requestId) {
    return runs.get(requestId);
  }
}
