package org.shoreroad.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.jspecify.annotations.Nullable;
import org.shoreroad.daemon.request.AnswerSink;

/**
 * The requests that this gateway has handed to other processes, by id.
 *
 * <p>An answer reaches a sink only by its own request's id and from the process that the request
 * was handed to; anything else is late or foreign and is dropped. Thread-safe.
 */
public final class InFlightRequests {
  private final ConcurrentMap<String, Entry> entryById = new ConcurrentHashMap<>();

  private record Entry(String ownerId, AnswerSink sink) {}

  /** Adds a request that is handed to a process; one with the same id is replaced. */
  public void add(String requestId, String ownerId, AnswerSink sink) {
    entryById.put(requestId, new Entry(ownerId, sink));
  }

  /** Returns the sink of a request if it was handed to this process, else null. */
  public @Nullable AnswerSink find(String requestId, String ownerId) {
    Entry entry = entryById.get(requestId);
    return entry != null && entry.ownerId().equals(ownerId) ? entry.sink() : null;
  }

  /** Takes a request out if it was handed to this process; returns its sink, else null. */
  public @Nullable AnswerSink remove(String requestId, String ownerId) {
    Entry entry = entryById.get(requestId);
    if (entry == null || !entry.ownerId().equals(ownerId)) {
      return null;
    }
    return entryById.remove(requestId, entry) ? entry.sink() : null;
  }

  /** Takes out all requests that were handed to a process. */
  public List<AnswerSink> removeAll(String ownerId) {
    List<AnswerSink> sinks = new ArrayList<>();
    for (String requestId : entryById.keySet()) {
      AnswerSink sink = remove(requestId, ownerId);
      if (sink != null) {
        sinks.add(sink);
      }
    }
    return sinks;
  }

  /** Returns how many requests are out. */
  public int size() {
    return entryById.size();
  }
}
