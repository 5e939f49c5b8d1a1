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
 * State of the engine of one box: its loads, its running requests and its injected faults.
 *
 * <p>A request runs only on the head box of a load. The engine doesn't check that the other boxes
 * of the replica are present, so that a wrong dispatch appears in the history. Thread-safe.
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

  /** Closes the connection of each later request after so many streamed tokens; 0 for never. */
  void setCutAfterTokens(int tokens) {
    cutAfterTokens = tokens;
  }

  int cutAfterTokens() {
    return cutAfterTokens;
  }

  /** Stops the engine abruptly: its loads and running requests are lost. */
  synchronized void kill() {
    isDead = true;
    loads.clear();
    runs.clear();
    history.add(name, "kill", "", "");
  }

  /** Restarts a killed engine with a new boot id. */
  synchronized void revive() {
    bootId = UUID.randomUUID().toString();
    isDead = false;
    history.add(name, "boot", "", "");
  }

  void setFrozen(boolean frozen) {
    isFrozen = frozen;
  }

  /** Blocks while the engine is frozen. */
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

  /** Executes a load order; returns false if the fencing number is stale. */
  synchronized boolean load(String loadName, long fence) {
    if (!acceptsFence(fence)) {
      history.add(name, "refused", loadName, "");
      return false;
    }
    long readyNanos = System.nanoTime() + loadDelayMs * 1_000_000;
    loads.putIfAbsent(loadName, new Load(loadName, readyNanos, new AtomicInteger()));
    history.add(name, "load", loadName, "");
    return true;
  }

  /** Executes an unload order; returns false if the fencing number is stale. */
  synchronized boolean unload(String loadName, long fence) {
    if (!acceptsFence(fence)) {
      history.add(name, "refused", loadName, "");
      return false;
    }
    if (loads.remove(loadName) != null) {
      history.add(name, "unload", loadName, "");
      runs.values().stream().filter(r -> r.loadName().equals(loadName)).forEach(EngineRun::fail);
    }
    return true;
  }

  private boolean acceptsFence(long fence) {
    if (!isFenced) {
      return true;
    }
    if (fence < highestFence) {
      return false;
    }
    highestFence = fence;
    return true;
  }

  /** Starts a request; returns null if its load isn't ready or the fencing number is stale. */
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
    run.setOnEnd(
        () -> {
          runningCount.add(-1);
          load.running().decrementAndGet();
        });
    return run;
  }

  /** Returns the published prompt cache events after a sequence number. */
  java.util.List<CacheEvents.Event> cacheEventsAfter(long number) {
    return cacheEvents.after(number);
  }

  /** Returns the run of a request, or null if it is unknown or was lost by a kill. */
  @Nullable EngineRun find(String requestId) {
    return runs.get(requestId);
  }
}
