package org.shoreroad.standins;

import java.util.ArrayList;
import java.util.List;

/** Events of all engine stand-ins of a process, oldest first. Thread-safe. */
public final class EngineHistory {
  private static final int MAX_EVENTS = 2_000_000;

  private final List<EngineEvent> events = new ArrayList<>();

  /** Adds an event without a prompt. */
  void add(String box, String kind, String name, String requestId) {
    add(box, kind, name, requestId, "");
  }

  /** Adds an event with the prompt of a request; ignored once the history is full. */
  synchronized void add(String box, String kind, String name, String requestId, String prompt) {
    if (events.size() < MAX_EVENTS) {
      events.add(new EngineEvent(System.nanoTime(), box, kind, name, requestId, prompt));
    }
  }

  /** Returns a copy of the events so far. */
  public synchronized List<EngineEvent> events() {
    return List.copyOf(events);
  }
}
