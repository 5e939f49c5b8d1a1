package org.shoreroad.member;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Many memberships over a network in memory, with loss, silence and cuts; seeded. */
public final class MembershipSimulation {
  private static final MembershipTiming TIMING = MembershipTiming.of(300);
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final List<SwimMembership> nodes = new ArrayList<>();
  private final Set<Integer> silent = new HashSet<>();
  private final Random random;
  private List<Message> inFlight = new ArrayList<>();
  private long nowNanos;
  private int lossPercent;
  private int cutBelow;
  private long messages;

  private record Message(int from, int to, MembershipMessage heartbeat) {}

  /** Creates nodes that know each other. */
  public MembershipSimulation(int count, long seed) {
    random = new Random(seed);
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add("n" + i);
    }
    for (int i = 0; i < count; i++) {
      SwimMembership node = new SwimMembership("n" + i, TIMING, seed + i, 0);
      node.setNodes(ids);
      nodes.add(node);
    }
  }

  SwimMembership node(int index) {
    return nodes.get(index);
  }

  /** Returns how many messages were sent. */
  public long messages() {
    return messages;
  }

  void setLossPercent(int percent) {
    lossPercent = percent;
  }

  /** A node neither sends nor receives any more. */
  public void silence(int index) {
    silent.add(index);
  }

  void endSilence(int index) {
    silent.remove(index);
  }

  /** The nodes below this index and the others no longer hear each other. */
  void cut(int below) {
    cutBelow = below;
  }

  /** Runs for so many periods. */
  public void run(int periods) {
    long endNanos = nowNanos + periods * TIMING.periodNanos();
    while (nowNanos < endNanos) {
      step();
    }
  }

  /** Runs until all other nodes are counted; returns after how many periods, at most the limit. */
  public int runUntil(IntSupplier counted, int limit) {
    int wanted = nodes.size() - 1;
    for (int period = 0; period < limit; period++) {
      if (counted.getAsInt() == wanted) {
        return period;
      }
      run(1);
    }
    return limit;
  }

  /** Returns how many other nodes that are not silent believe this of a node. */
  public int countViewsWithStatus(int index, PeerStatus status) {
    int count = 0;
    for (int i = 0; i < nodes.size(); i++) {
      boolean isAsked = i != index && !silent.contains(i);
      count += isAsked && nodes.get(i).statusOf("n" + index) == status ? 1 : 0;
    }
    return count;
  }

  private void step() {
    nowNanos += STEP_NANOS;
    List<Message> arriving = inFlight;
    inFlight = new ArrayList<>();
    for (Message message : arriving) {
      if (!isLost(message)) {
        send(
            message.to(),
            nodes.get(message.to()).receive("n" + message.from(), message.heartbeat(), nowNanos));
      }
    }
    for (int i = 0; i < nodes.size(); i++) {
      send(i, nodes.get(i).tick(nowNanos));
    }
  }

  private boolean isLost(Message message) {
    boolean isCut = (message.from() < cutBelow) != (message.to() < cutBelow);
    return isCut
        || silent.contains(message.from())
        || silent.contains(message.to())
        || random.nextInt(100) < lossPercent;
  }

  private void send(int from, List<SwimMembership.Outgoing> outgoing) {
    for (SwimMembership.Outgoing message : outgoing) {
      messages++;
      int to = Integer.parseInt(message.nodeId().substring(1));
      inFlight.add(new Message(from, to, message.message()));
    }
  }
}
