package org.shoreroad.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.jspecify.annotations.Nullable;
import org.shoreroad.daemon.request.AnswerSink;

/**
 * The unanswered requests that this gateway has sent to other processes, by id.
 *
 * <p>The sink of a request is found only with its request id and the process that the request was
 * sent to; any other message is late or from the wrong process and is dropped. Thread-safe.
 */
public final class InFlightRequests {
  private final ConcurrentMap<String, Entry> entryById = new ConcurrentHashMap<>();

  private record Entry(String ownerId, AnswerSink sink) {}

  /** Adds a request that is sent to a process; replaces one with the same id. */
  public void add(String requestId, String ownerId, AnswerSink sink) {
    entryById.put(requestId, new Entry(ownerId, sink));
  }

  /** Returns the sink of a request if it was sent to this process, else null. */
  public @Nullable AnswerSink find(String requestId, String ownerId) {
    Entry entry = entryById.get(requestId);
    return entry != null && entry.ownerId().equals(ownerId) ? entry.sink() : null;
  }

  /** Removes a request if it was sent to this process, and returns its sink, else null. */
  public @Nullable AnswerSink remove(String requestId, String ownerId) {
    Entry entry = entryById.get(requestId);
    if (entry == null || !entry.ownerId().equals(ownerId)) {
      return null;
    }
    return entryById.remove(requestId, entry) ? entry.sink() : null;
  }

  /** Removes all requests that were sent to a process, and returns their sinks. */
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

  /** Returns the number of unanswered requests. */
  public int size() {
    return entryById.size();
  }
}
