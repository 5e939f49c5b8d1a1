package org.shoreroad.edge.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Failure detector for boxes: collects the processes that get no answer from a box.
 *
 * <p>One process cannot distinguish a dead box from a partition between the two, so it asks the
 * other processes in its heartbeats to try the box too. A box that answers none of them is dead.
 * Not thread-safe: for use on the event loop.
 *
 * @since 0.2
 */
public final class FailureDetector {
  /** Lifetime of a question after it was last asked. */
  private static final long QUESTION_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Time for peers to try the box twice and report: two heartbeats and two tries. */
  private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_600);

  private final LongSupplier clockNanos;
  private final Map<String, Question> own = new HashMap<>();
  private final Map<String, String> askedByPeers = new HashMap<>();
  private final Map<String, Long> askedByPeersNanos = new HashMap<>();

  /** Creates a failure detector without open questions. */
  public FailureDetector(LongSupplier clockNanos) {
    this.clockNanos = clockNanos;
  }

  /** Asks the other processes to try a box; call it repeatedly while the box is silent. */
  public void askPeers(String id, String address) {
    long nowNanos = clockNanos.getAsLong();
    Question question = own.get(id);
    if (question == null || nowNanos - question.lastAskedNanos > QUESTION_NANOS) {
      question = new Question(address, nowNanos);
      own.put(id, question);
    }
    question.lastAskedNanos = nowNanos;
  }

  /** Returns the silent boxes to ask the other processes about, addresses by id. */
  public Map<String, String> questions() {
    long nowNanos = clockNanos.getAsLong();
    own.values().removeIf(question -> nowNanos - question.lastAskedNanos > QUESTION_NANOS);
    Map<String, String> questions = new HashMap<>();
    own.forEach((id, question) -> questions.put(id, question.address));
    return questions;
  }

  /** Removes a box that is gone or has restarted. */
  public void forget(String id) {
    own.remove(id);
    askedByPeers.remove(id);
    askedByPeersNanos.remove(id);
  }

  /** Applies the questions and the silent boxes in a heartbeat of a peer. */
  public void applyHeartbeat(Heartbeat heartbeat) {
    long nowNanos = clockNanos.getAsLong();
    heartbeat
        .askedUpstreams()
        .forEach(
            (id, address) -> {
              askedByPeers.put(id, address);
              askedByPeersNanos.put(id, nowNanos);
            });
    own.forEach(
        (id, question) -> {
          if (heartbeat.silentUpstreams().contains(id)) {
            question.silentFor.add(heartbeat.sender());
          } else {
            question.silentFor.remove(heartbeat.sender());
          }
        });
  }

  /** Returns the boxes that peers ask about, addresses by id. */
  public Map<String, String> askedByPeers() {
    long nowNanos = clockNanos.getAsLong();
    askedByPeersNanos.values().removeIf(askedNanos -> nowNanos - askedNanos > QUESTION_NANOS);
    askedByPeers.keySet().retainAll(askedByPeersNanos.keySet());
    return Map.copyOf(askedByPeers);
  }

  /**
   * Returns true if the box answers neither this process nor any of the alive peers.
   *
   * @param id the id of the box
   * @param alivePeers the names of the other alive processes, not null
   */
  public boolean isSilentForAll(String id, Set<String> alivePeers) {
    Question question = own.get(id);
    return question != null
        && clockNanos.getAsLong() - question.sinceNanos > ANSWER_NANOS
        && question.silentFor.containsAll(alivePeers);
  }

  private static final class Question {
    private final String address;
    private final long sinceNanos;
    private final Set<String> silentFor = new HashSet<>();
    private long lastAskedNanos;

    Question(String address, long sinceNanos) {
      this.address = address;
      this.sinceNanos = sinceNanos;
    }
  }
}
