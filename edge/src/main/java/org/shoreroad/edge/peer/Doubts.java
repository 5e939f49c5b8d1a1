package org.shoreroad.edge.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Boxes that do not answer this process, and what the other processes found when they asked.
 *
 * <p>One process alone can't tell a dead box from a cut between the two; a box that answers nobody
 * is dead. Used on the event loop.
 *
 * @since 0.2
 */
public final class Doubts {
  /** A question is kept up this long after it was last raised. */
  private static final long KEEP_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Peers get this long to ask the box twice and tell: two heartbeats and two questions. */
  private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

  private final LongSupplier clockNanos;
  private final Map<String, Doubt> own = new HashMap<>();
  private final Map<String, String> askedByPeers = new HashMap<>();
  private final Map<String, Long> askedByPeersNanos = new HashMap<>();

  /** Creates an empty set of doubts. */
  public Doubts(LongSupplier clockNanos) {
    this.clockNanos = clockNanos;
  }

  /** Asks the others about a box; to be repeated while the doubt lasts. */
  public void raise(String id, String address) {
    long nowNanos = clockNanos.getAsLong();
    Doubt doubt = own.get(id);
    if (doubt == null || nowNanos - doubt.raisedNanos > KEEP_NANOS) {
      doubt = new Doubt(address, nowNanos);
      own.put(id, doubt);
    }
    doubt.raisedNanos = nowNanos;
  }

  /** Returns what to ask the others. */
  public Map<String, String> questions() {
    long nowNanos = clockNanos.getAsLong();
    own.values().removeIf(doubt -> nowNanos - doubt.raisedNanos > KEEP_NANOS);
    Map<String, String> questions = new HashMap<>();
    own.forEach((id, doubt) -> questions.put(id, doubt.address));
    return questions;
  }

  /** Takes what a peer asks and what it found. */
  public void learn(Heartbeat heartbeat) {
    long nowNanos = clockNanos.getAsLong();
    heartbeat
        .askedUpstreams()
        .forEach(
            (id, address) -> {
              askedByPeers.put(id, address);
              askedByPeersNanos.put(id, nowNanos);
            });
    own.forEach(
        (id, doubt) -> {
          if (heartbeat.silentUpstreams().contains(id)) {
            doubt.silentFor.add(heartbeat.sender());
          } else {
            doubt.silentFor.remove(heartbeat.sender());
          }
        });
  }

  /** Returns the boxes that peers ask about, with their addresses. */
  public Map<String, String> askedByPeers() {
    long nowNanos = clockNanos.getAsLong();
    askedByPeersNanos.values().removeIf(askedNanos -> nowNanos - askedNanos > KEEP_NANOS);
    askedByPeers.keySet().retainAll(askedByPeersNanos.keySet());
    return Map.copyOf(askedByPeers);
  }

  /**
   * Returns true if the box answers none of the processes that could be asked.
   *
   * @param id the box
   * @param alivePeers the other processes alive
   */
  public boolean isSilentForAll(String id, Set<String> alivePeers) {
    Doubt doubt = own.get(id);
    return doubt != null
        && clockNanos.getAsLong() - doubt.sinceNanos > ANSWER_NANOS
        && doubt.silentFor.containsAll(alivePeers);
  }

  private static final class Doubt {
    private final String address;
    private final long sinceNanos;
    private final Set<String> silentFor = new HashSet<>();
    private long raisedNanos;

    Doubt(String address, long sinceNanos) {
      this.address = address;
      this.sinceNanos = sinceNanos;
    }
  }
}
