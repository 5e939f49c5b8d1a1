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
 * Failure detector and membership of one process, by the SWIM protocol (Das, Gupta, Motivala,
 * 2002).
 *
 * <p>In each period one peer is pinged, in shuffled order. If it does not answer, {@value
 * #INDIRECT_PROBES} other peers are requested to ping it. If it answers none of them, it becomes a
 * suspect, and a rumor of that spreads. A suspect that does not refute the suspicion in time is
 * dead. A rumor with a higher incarnation makes a dead process alive again.
 *
 * <p>Not thread-safe: for use by one thread. Performs no input or output: each call returns the
 * messages to send.
 *
 * @since 0.1
 */
public final class SwimMembership {
  /** Number of peers that are requested to ping a peer that did not answer. */
  public static final int INDIRECT_PROBES = 3;

  /** Maximum number of rumors in a message. */
  public static final int MAX_RUMORS = 8;

  /** Sends of a rumor per binary digit of the number of processes. */
  private static final int RUMOR_SENDS_FACTOR = 3;

  private final String selfId;
  private final MembershipTiming timing;
  private final Random random;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final RumorBuffer rumorBuffer = new RumorBuffer();
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
   * A message and its receiver.
   *
   * @param nodeId the id of the receiver
   * @param message the message
   */
  public record Outgoing(String nodeId, MembershipMessage message) {}

  /** State of a peer. */
  private static final class Peer {
    private Rumor rumor;
    private long suspectSinceNanos;
    private boolean isOwnSuspicion;
    private long appliedOffset = -1;

    Peer(Rumor rumor) {
      this.rumor = rumor;
    }
  }

  /** A ping without an answer yet, sent for this process or on behalf of another one. */
  private record Probe(
      String target,
      long sentNanos,
      boolean isIndirectRequested,
      String requester,
      long requesterSequence) {
    Probe withIndirectRequested() {
      return new Probe(target, sentNanos, true, requester, requesterSequence);
    }
  }

  /**
   * Creates the membership of a process without peers.
   *
   * @param selfId the id of the process, not null
   * @param timing the timing parameters, not null
   * @param seed the seed of the random order of pings
   * @param nowNanos the monotonic time
   */
  public SwimMembership(String selfId, MembershipTiming timing, long seed, long nowNanos) {
    this.selfId = selfId;
    this.timing = timing;
    this.random = new Random(seed);
    this.nextPeriodNanos = nowNanos;
  }

  /**
   * Sets the processes that exist according to the control log.
   *
   * @param nodeIds the ids of all processes, with or without this one
   */
  public void setNodes(Collection<String> nodeIds) {
    peers.keySet().retainAll(nodeIds);
    for (String id : nodeIds) {
      if (!id.equals(selfId)) {
        peers.computeIfAbsent(id, added -> new Peer(new Rumor(added, PeerStatus.ALIVE, 0)));
      }
    }
    rumorBuffer.retain(nodeIds);
  }

  /** Sets the offset up to which this process has applied the control stream; sent to peers. */
  public void setAppliedOffset(long offset) {
    appliedOffset = offset;
  }

  /** Returns the sorted ids of all processes that are not dead, including this one. */
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

  /** Returns the sorted ids of the processes that accept new work. */
  public Collection<String> workingIds() {
    Collection<String> ids = aliveIds();
    ids.removeIf(id -> statusOf(id) == PeerStatus.LEAVING);
    return ids;
  }

  /** Announces to the peers that this process is stopping and accepts no new work. */
  public void leave() {
    isLeaving = true;
    incarnation++;
    rumorBuffer.put(new Rumor(selfId, PeerStatus.LEAVING, incarnation), rumorSends());
  }

  /** Returns the status of a process; dead if it does not exist. */
  public PeerStatus statusOf(String nodeId) {
    if (nodeId.equals(selfId)) {
      return isLeaving ? PeerStatus.LEAVING : PeerStatus.ALIVE;
    }
    Peer peer = peers.get(nodeId);
    return peer == null ? PeerStatus.DEAD : peer.rumor.status();
  }

  /** Returns the highest applied offset reported by any peer, or -1 if there is none. */
  public long highestPeerOffset() {
    return highestPeerOffset;
  }

  /** Returns true if more than half of all processes, including this one, are not dead. */
  public boolean isMajorityAlive() {
    return 2 * aliveIds().size() > peers.size() + 1;
  }

  /** Returns true if any peer has ever answered. */
  public boolean hasContact() {
    return hasContact;
  }

  /** Returns the monotonic time at which the latest ping with an answer was sent. */
  public long contactNanos() {
    return lastContactNanos;
  }

  /** Returns the applied offset of the control stream reported by a peer, or -1. */
  public long appliedOffsetOf(String nodeId) {
    Peer peer = peers.get(nodeId);
    return peer == null ? -1 : peer.appliedOffset;
  }

  /** Pings all peers at once, independently of the periods; returns the messages to send. */
  public List<Outgoing> pingAll(long nowNanos) {
    List<Outgoing> out = new ArrayList<>();
    for (String id : peers.keySet()) {
      ping(id, "", 0, nowNanos, out);
    }
    return out;
  }

  /**
   * Performs the periodic work.
   *
   * @param nowNanos the monotonic time
   * @return the messages to send
   */
  public List<Outgoing> tick(long nowNanos) {
    List<Outgoing> out = new ArrayList<>();
    requestIndirectProbes(nowNanos, out);
    if (nowNanos - nextPeriodNanos >= 0) {
      nextPeriodNanos = nowNanos + timing.periodNanos();
      expireProbes(nowNanos);
      String target = nextTarget();
      if (target != null) {
        ping(target, "", 0, nowNanos, out);
      }
      pingOwnSuspects(nowNanos, out);
    }
    declareOverdueSuspectsDead(nowNanos);
    return out;
  }

  /**
   * Processes a received message.
   *
   * @param from the id of the sender
   * @param received the message
   * @param nowNanos the monotonic time
   * @return the messages to send
   */
  public List<Outgoing> receive(String from, MembershipMessage received, long nowNanos) {
    List<Outgoing> out = new ArrayList<>();
    Peer sender = peers.get(from);
    if (sender != null) {
      sender.appliedOffset = Math.max(sender.appliedOffset, received.appliedOffset());
    }
    highestPeerOffset = Math.max(highestPeerOffset, received.appliedOffset());
    received.rumors().forEach(rumor -> applyRumor(rumor, nowNanos));
    switch (received.type()) {
      case PING -> out.add(message(from, MembershipMessage.Type.ACK, received.sequence(), ""));
      case PING_REQUEST -> ping(received.subject(), from, received.sequence(), nowNanos, out);
      case ACK, INDIRECT_ACK -> receiveAck(from, received, out);
      default -> throw new IllegalStateException("type " + received.type());
    }
    return out;
  }

  private void receiveAck(String from, MembershipMessage received, List<Outgoing> out) {
    Probe probe = probes.remove(received.sequence());
    if (probe == null) {
      return;
    }
    if (!probe.requester().isEmpty()) {
      out.add(
          message(
              probe.requester(),
              MembershipMessage.Type.INDIRECT_ACK,
              probe.requesterSequence(),
              probe.target()));
      return;
    }
    // The time of sending counts, so that a pause of this process before this line does not make an
    // old answer look recent.
    hasContact = true;
    lastContactNanos = Math.max(lastContactNanos, probe.sentNanos());
    Peer peer = peers.get(probe.target());
    if (peer != null
        && received.type() == MembershipMessage.Type.ACK
        && from.equals(probe.target())) {
      clearSuspicion(peer);
    }
  }

  /** Clears the suspicion of this process; the suspect itself refutes those of other processes. */
  private void clearSuspicion(Peer peer) {
    if (peer.rumor.status() == PeerStatus.SUSPECT) {
      peer.suspectSinceNanos = 0;
      peer.rumor = new Rumor(peer.rumor.nodeId(), PeerStatus.ALIVE, peer.rumor.incarnation());
    } else if (peer.rumor.status() == PeerStatus.DEAD) {
      rumorBuffer.put(peer.rumor, rumorSends());
    }
  }

  private void requestIndirectProbes(long nowNanos, List<Outgoing> out) {
    for (Map.Entry<Long, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      boolean isLate = nowNanos - probe.sentNanos() >= timing.ackTimeoutNanos();
      if (probe.requester().isEmpty() && !probe.isIndirectRequested() && isLate) {
        entry.setValue(probe.withIndirectRequested());
        for (String helper : chooseHelpers(probe.target())) {
          out.add(
              message(helper, MembershipMessage.Type.PING_REQUEST, entry.getKey(), probe.target()));
        }
      }
    }
  }

  /** Pings the suspects of this process in each period, so that they can refute in time. */
  private void pingOwnSuspects(long nowNanos, List<Outgoing> out) {
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      Peer peer = entry.getValue();
      if (peer.isOwnSuspicion && peer.rumor.status() == PeerStatus.SUSPECT) {
        ping(entry.getKey(), "", 0, nowNanos, out);
      }
    }
  }

  private List<String> chooseHelpers(String target) {
    List<String> others = new ArrayList<>(aliveIds());
    others.remove(selfId);
    others.remove(target);
    Collections.shuffle(others, random);
    return others.subList(0, Math.min(INDIRECT_PROBES, others.size()));
  }

  private void expireProbes(long nowNanos) {
    List<Long> ended = new ArrayList<>();
    probes.forEach(
        (sequence, probe) -> {
          if (nowNanos - probe.sentNanos() >= timing.periodNanos()) {
            ended.add(sequence);
          }
        });
    for (long sequence : ended) {
      Probe probe = probes.remove(sequence);
      if (probe != null && probe.requester().isEmpty()) {
        suspect(probe.target(), nowNanos);
      }
    }
  }

  private void suspect(String nodeId, long nowNanos) {
    Peer peer = peers.get(nodeId);
    if (peer != null && peer.rumor.status().compareTo(PeerStatus.SUSPECT) < 0) {
      applyRumor(new Rumor(nodeId, PeerStatus.SUSPECT, peer.rumor.incarnation()), nowNanos);
      peer.isOwnSuspicion = true;
    }
  }

  private void declareOverdueSuspectsDead(long nowNanos) {
    // A rumor reaches all processes, and a refutation returns, in about log2(processes) periods.
    long periods = Math.max(timing.suspicionPeriods(), log2Ceiling(peers.size() + 1));
    long suspicionNanos = periods * timing.periodNanos();
    for (Peer peer : peers.values()) {
      boolean isOverdue = nowNanos - peer.suspectSinceNanos >= suspicionNanos;
      if (peer.rumor.status() == PeerStatus.SUSPECT && isOverdue) {
        applyRumor(
            new Rumor(peer.rumor.nodeId(), PeerStatus.DEAD, peer.rumor.incarnation()), nowNanos);
      }
    }
  }

  private void applyRumor(Rumor rumor, long nowNanos) {
    if (rumor.nodeId().equals(selfId)) {
      refute(rumor);
      return;
    }
    Peer peer = peers.get(rumor.nodeId());
    if (peer == null || !rumor.overrides(peer.rumor)) {
      return;
    }
    if (rumor.status() == PeerStatus.SUSPECT) {
      peer.suspectSinceNanos = nowNanos;
      peer.isOwnSuspicion = false;
    }
    peer.rumor = rumor;
    rumorBuffer.put(rumor, rumorSends());
  }

  private void refute(Rumor rumor) {
    PeerStatus own = statusOf(selfId);
    if (rumor.status().compareTo(own) > 0 && rumor.incarnation() >= incarnation) {
      incarnation = rumor.incarnation() + 1;
      rumorBuffer.put(new Rumor(selfId, own, incarnation), rumorSends());
    }
  }

  private void ping(
      String target, String requester, long requesterSequence, long nowNanos, List<Outgoing> out) {
    long sequence = nextSequence++;
    probes.put(sequence, new Probe(target, nowNanos, false, requester, requesterSequence));
    // A peer that is not alive is sent its own status, so that it can refute it.
    Peer peer = peers.get(target);
    if (peer != null && peer.rumor.status() != PeerStatus.ALIVE) {
      rumorBuffer.put(peer.rumor, 1);
    }
    out.add(message(target, MembershipMessage.Type.PING, sequence, ""));
  }

  private Outgoing message(String to, MembershipMessage.Type type, long sequence, String subject) {
    return new Outgoing(
        to,
        new MembershipMessage(
            type, sequence, subject, appliedOffset, rumorBuffer.take(MAX_RUMORS)));
  }

  /** Returns the next peer to ping; includes dead peers, since they may recover. */
  private @Nullable String nextTarget() {
    round.removeIf(id -> !peers.containsKey(id));
    if (round.isEmpty()) {
      round.addAll(peers.keySet());
      Collections.shuffle(round, random);
    }
    return round.isEmpty() ? null : round.remove(round.size() - 1);
  }

  private int rumorSends() {
    return RUMOR_SENDS_FACTOR * log2Ceiling(peers.size() + 1);
  }

  private static int log2Ceiling(int number) {
    return Integer.SIZE - Integer.numberOfLeadingZeros(number);
  }
}
