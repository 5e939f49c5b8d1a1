package org.shoreroad.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * One process's belief of who lives (the SWIM protocol: Das, Gupta, Motivala, 2002).
 *
 * <p>In each period one peer, in shuffled order, is asked for a sign of life; if it stays silent,
 * {@value #HELPERS} others are asked to ask it; if it stays silent still, it is a suspect, and the
 * rumor spreads; a suspect that does not object in time is dead. A dead process that is heard of
 * with a higher incarnation lives again.
 *
 * <p>Not thread-safe: one thread owns it. It sends nothing itself: each call returns what to send.
 *
 * @since 0.1
 */
public final class SwimMembership {
  /** How many others are asked to ask a silent peer. */
  public static final int HELPERS = 3;

  /** How many rumors a message carries at most. */
  public static final int MAX_RUMORS = 8;

  private static final int SPREAD_FACTOR = 3;

  private final String selfId;
  private final MembershipTiming timing;
  private final Random random;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final RumorBuffer board = new RumorBuffer();
  private final Map<Long, Probe> probes = new HashMap<>();
  private final List<String> round = new ArrayList<>();
  private long incarnation;
  private long nextSequence;
  private long nextPeriodNanos;
  private long appliedOffset;
  private long lastContactNanos;
  private boolean hasContact;
  private boolean isLeaving;
  private long highestPeerOffset = -1;

  /**
   * A message and whom it goes to.
   *
   * @param nodeId whom it goes to
   * @param message the message
   */
  public record Outgoing(String nodeId, MembershipMessage message) {}

  /** What is known of a peer. */
  private static final class Peer {
    private Rumor rumor;
    private long suspectSinceNanos;
    private boolean isSuspectedByMe;
    private long appliedOffset = -1;

    Peer(Rumor rumor) {
      this.rumor = rumor;
    }
  }

  /** An open question: to a peer of one's own, or on behalf of another. */
  private record Probe(
      String target, long sentNanos, boolean isAskedAround, String onBehalfOf, long theirSequence) {
    Probe withAskedAround() {
      return new Probe(target, sentNanos, true, onBehalfOf, theirSequence);
    }
  }

  /**
   * Creates the belief of a process that knows only itself.
   *
   * @param selfId its own id, not null
   * @param timing the times, not null
   * @param seed the seed of the shuffling
   * @param nowNanos the monotonic time
   */
  public SwimMembership(String selfId, MembershipTiming timing, long seed, long nowNanos) {
    this.selfId = selfId;
    this.timing = timing;
    this.random = new Random(seed);
    this.nextPeriodNanos = nowNanos;
  }

  /**
   * Sets who exists, as the log tells.
   *
   * @param nodeIds the ids of all processes, with or without the own one
   */
  public void setNodes(Collection<String> nodeIds) {
    peers.keySet().retainAll(nodeIds);
    for (String id : nodeIds) {
      if (!id.equals(selfId)) {
        peers.computeIfAbsent(id, i -> new Peer(new Rumor(i, PeerStatus.ALIVE, 0)));
      }
    }
    board.retain(nodeIds);
  }

  /** Sets how far the control stream was applied here, which peers are told. */
  public void setAppliedOffset(long offset) {
    appliedOffset = offset;
  }

  /** Returns the ids of the processes believed alive or suspect, with the own one, in order. */
  public Collection<String> aliveIds() {
    TreeSet<String> ids = new TreeSet<>();
    ids.add(selfId);
    peers.forEach(
        (id, peer) -> {
          if (peer.rumor.status() != PeerStatus.DEAD) {
            ids.add(id);
          }
        });
    return ids;
  }

  /** Returns the ids of the processes that take on new work, in order. */
  public Collection<String> workingIds() {
    Collection<String> ids = aliveIds();
    ids.removeIf(id -> statusOf(id) == PeerStatus.LEAVING);
    return ids;
  }

  /** Tells the peers that this process is stopping and takes on nothing new. */
  public void leave() {
    isLeaving = true;
    incarnation++;
    board.put(new Rumor(selfId, PeerStatus.LEAVING, incarnation), spreads());
  }

  /** Returns what is believed of a process; one that does not exist is dead. */
  public PeerStatus statusOf(String nodeId) {
    if (nodeId.equals(selfId)) {
      return isLeaving ? PeerStatus.LEAVING : PeerStatus.ALIVE;
    }
    Peer peer = peers.get(nodeId);
    return peer == null ? PeerStatus.DEAD : peer.rumor.status();
  }

  /** Returns the greatest offset that any peer said it has applied, or -1. */
  public long highestPeerOffset() {
    return highestPeerOffset;
  }

  /** Returns true if more than half of all processes are believed alive, the own one counted. */
  public boolean isMajorityAlive() {
    return 2 * aliveIds().size() > peers.size() + 1;
  }

  /** Returns true if any peer has answered yet. */
  public boolean hasContact() {
    return hasContact;
  }

  /** Returns when the last question that a peer answered was sent, on the monotonic clock. */
  public long contactNanos() {
    return lastContactNanos;
  }

  /** Returns how far a peer said it has applied the control stream, or -1. */
  public long appliedOffsetOf(String nodeId) {
    Peer peer = peers.get(nodeId);
    return peer == null ? -1 : peer.appliedOffset;
  }

  /** Asks all peers at once, outside the rounds; returns what to send. */
  public List<Outgoing> pingAll(long nowNanos) {
    List<Outgoing> out = new ArrayList<>();
    for (String id : peers.keySet()) {
      ping(id, "", 0, nowNanos, out);
    }
    return out;
  }

  /**
   * Does what is due.
   *
   * @param nowNanos the monotonic time
   * @return what to send
   */
  public List<Outgoing> tick(long nowNanos) {
    List<Outgoing> out = new ArrayList<>();
    askAround(nowNanos, out);
    if (nowNanos - nextPeriodNanos >= 0) {
      nextPeriodNanos = nowNanos + timing.periodNanos();
      endProbes(nowNanos);
      String target = nextTarget();
      if (target != null) {
        ping(target, "", 0, nowNanos, out);
      }
      askSuspectsAgain(nowNanos, out);
    }
    buryOverdue(nowNanos);
    return out;
  }

  /**
   * Takes in a message.
   *
   * @param from the sender's id
   * @param heartbeat the message
   * @param nowNanos the monotonic time
   * @return what to send
   */
  public List<Outgoing> receive(String from, MembershipMessage heartbeat, long nowNanos) {
    List<Outgoing> out = new ArrayList<>();
    Peer sender = peers.get(from);
    if (sender != null) {
      sender.appliedOffset = Math.max(sender.appliedOffset, heartbeat.appliedOffset());
    }
    highestPeerOffset = Math.max(highestPeerOffset, heartbeat.appliedOffset());
    heartbeat.rumors().forEach(rumor -> hear(rumor, nowNanos));
    switch (heartbeat.type()) {
      case PING -> out.add(message(from, MembershipMessage.Type.ACK, heartbeat.sequence(), ""));
      case PING_REQUEST -> ping(heartbeat.subject(), from, heartbeat.sequence(), nowNanos, out);
      case ACK, INDIRECT_ACK -> receiveAck(from, heartbeat, out);
      default -> throw new IllegalStateException("type " + heartbeat.type());
    }
    return out;
  }

  private void receiveAck(String from, MembershipMessage heartbeat, List<Outgoing> out) {
    Probe probe = probes.remove(heartbeat.sequence());
    if (probe == null) {
      return;
    }
    if (!probe.onBehalfOf().isEmpty()) {
      out.add(
          message(
              probe.onBehalfOf(),
              MembershipMessage.Type.INDIRECT_ACK,
              probe.theirSequence(),
              probe.target()));
      return;
    }
    // Contact counts from the sending, so that a long pause before this line can't feign it.
    hasContact = true;
    lastContactNanos = Math.max(lastContactNanos, probe.sentNanos());
    Peer peer = peers.get(probe.target());
    if (peer != null && heartbeat.type() == MembershipMessage.Type.ACK && from.equals(probe.target())) {
      clearSuspicion(peer);
    }
  }

  /** A direct answer clears the own suspicion; what others believe, the suspect itself clears. */
  private void clearSuspicion(Peer peer) {
    if (peer.rumor.status() == PeerStatus.SUSPECT) {
      peer.suspectSinceNanos = 0;
      peer.rumor = new Rumor(peer.rumor.nodeId(), PeerStatus.ALIVE, peer.rumor.incarnation());
    } else if (peer.rumor.status() == PeerStatus.DEAD) {
      board.put(peer.rumor, spreads());
    }
  }

  private void askAround(long nowNanos, List<Outgoing> out) {
    for (Map.Entry<Long, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      boolean isLate = nowNanos - probe.sentNanos() >= timing.ackTimeoutNanos();
      if (probe.onBehalfOf().isEmpty() && !probe.isAskedAround() && isLate) {
        entry.setValue(probe.withAskedAround());
        for (String helper : pickHelpers(probe.target())) {
          out.add(message(helper, MembershipMessage.Type.PING_REQUEST, entry.getKey(), probe.target()));
        }
      }
    }
  }

  /** Whoever raised a suspicion asks the suspect in each period, so that it can object in time. */
  private void askSuspectsAgain(long nowNanos, List<Outgoing> out) {
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      if (peer.isSuspectedByMe && peer.rumor.status() == PeerStatus.SUSPECT) {
        ping(entry.getKey(), "", 0, nowNanos, out);
      }
    }
  }

  private List<String> pickHelpers(String target) {
    List<String> others = new ArrayList<>(aliveIds());
    others.remove(selfId);
    others.remove(target);
    Collections.shuffle(others, random);
    return others.subList(0, Math.min(HELPERS, others.size()));
  }

  private void endProbes(long nowNanos) {
    List<Long> ended = new ArrayList<>();
    probes.forEach(
        (sequence, probe) -> {
          if (nowNanos - probe.sentNanos() >= timing.periodNanos()) {
            ended.add(sequence);
          }
        });
    for (long sequence : ended) {
      Probe probe = probes.remove(sequence);
      if (probe != null && probe.onBehalfOf().isEmpty()) {
        suspect(probe.target(), nowNanos);
      }
    }
  }

  private void suspect(String nodeId, long nowNanos) {
    Peer peer = peers.get(nodeId);
    if (peer != null && peer.rumor.status().compareTo(PeerStatus.SUSPECT) < 0) {
      hear(new Rumor(nodeId, PeerStatus.SUSPECT, peer.rumor.incarnation()), nowNanos);
      peer.isSuspectedByMe = true;
    }
  }

  private void buryOverdue(long nowNanos) {
    // A rumor needs about the logarithm of the fleet in periods to reach all, and back.
    long periods = Math.max(timing.suspicionPeriods(), log2Ceiling(peers.size() + 1));
    long suspicionNanos = periods * timing.periodNanos();
    for (Peer peer : peers.values()) {
      boolean isOverdue = nowNanos - peer.suspectSinceNanos >= suspicionNanos;
      if (peer.rumor.status() == PeerStatus.SUSPECT && isOverdue) {
        hear(new Rumor(peer.rumor.nodeId(), PeerStatus.DEAD, peer.rumor.incarnation()), nowNanos);
      }
    }
  }

  private void hear(Rumor rumor, long nowNanos) {
    if (rumor.nodeId().equals(selfId)) {
      object(rumor);
      return;
    }
    Peer peer = peers.get(rumor.nodeId());
    if (peer == null || !rumor.overrides(peer.rumor)) {
      return;
    }
    if (rumor.status() == PeerStatus.SUSPECT) {
      peer.suspectSinceNanos = nowNanos;
      peer.isSuspectedByMe = false;
    }
    peer.rumor = rumor;
    board.put(rumor, spreads());
  }

  private void object(Rumor rumor) {
    PeerStatus own = statusOf(selfId);
    if (rumor.status().compareTo(own) > 0 && rumor.incarnation() >= incarnation) {
      incarnation = rumor.incarnation() + 1;
      board.put(new Rumor(selfId, own, incarnation), spreads());
    }
  }

  private void ping(
      String target, String onBehalfOf, long theirs, long nowNanos, List<Outgoing> out) {
    long sequence = nextSequence++;
    probes.put(sequence, new Probe(target, nowNanos, false, onBehalfOf, theirs));
    // Whoever is thought suspect or dead is told, so that it can object.
    Peer peer = peers.get(target);
    if (peer != null && peer.rumor.status() != PeerStatus.ALIVE) {
      board.put(peer.rumor, 1);
    }
    out.add(message(target, MembershipMessage.Type.PING, sequence, ""));
  }

  private Outgoing message(String to, MembershipMessage.Type type, long sequence, String subject) {
    return new Outgoing(
        to, new MembershipMessage(type, sequence, subject, appliedOffset, board.take(MAX_RUMORS)));
  }

  /** Returns the next peer of the round; the dead are asked too, since they may come back. */
  private @Nullable String nextTarget() {
    round.removeIf(id -> !peers.containsKey(id));
    if (round.isEmpty()) {
      round.addAll(peers.keySet());
      Collections.shuffle(round, random);
    }
    return round.isEmpty() ? null : round.remove(round.size() - 1);
  }

  private int spreads() {
    return SPREAD_FACTOR * log2Ceiling(peers.size() + 1);
  }

  private static int log2Ceiling(int number) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(number);
  }
}
