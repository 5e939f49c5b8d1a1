package org.shoreroad.member;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/** Simulation of many processes over a network in memory with message loss and partitions. */
public final class MembershipSimulation {
  private static final MembershipTiming TIMING = MembershipTiming.of(300);
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final List<SwimMembership> nodes = new ArrayList<>();
  private final Set<Integer> disconnected = new HashSet<>();
  private final Random random;
  private List<Message> inFlight = new ArrayList<>();
  private long nowNanos;
  private int lossPercent;
  private int partitionIndex;
  private long messages;

  private record Message(int from, int to, MembershipMessage heartbeat) {}

  /** Creates nodes that are peers of each other; the seed determines the message loss. */
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

  /** Returns the number of messages sent. */
  public long messages() {
    return messages;
  }

  void setLossPercent(int percent) {
    lossPercent = percent;
  }

  /** Disconnects a node: it neither sends nor receives messages. */
  public void disconnect(int index) {
    disconnected.add(index);
  }

  void reconnect(int index) {
    disconnected.remove(index);
  }

  /** Partitions the network: no message passes between nodes below the index and the others. */
  void partition(int index) {
    partitionIndex = index;
  }

  /** Runs for the given number of periods. */
  public void run(int periods) {
    long endNanos = nowNanos + periods * TIMING.periodNanos();
    while (nowNanos < endNanos) {
      step();
    }
  }

  /** Runs until all other nodes are counted; returns the number of periods, at most the limit. */
  public int runUntil(IntSupplier counted, int limit) {
    int others = nodes.size() - 1;
    for (int period = 0; period < limit; period++) {
      if (counted.getAsInt() == others) {
        return period;
      }
      run(1);
    }
    return limit;
  }

  /** Returns the number of other connected nodes in whose view a node has the status. */
  public int countViewsWithStatus(int index, PeerStatus status) {
    int count = 0;
    for (int i = 0; i < nodes.size(); i++) {
      boolean isCounted = i != index && !disconnected.contains(i);
      count += isCounted && nodes.get(i).statusOf("n" + index) == status ? 1 : 0;
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
    boolean isPartitioned = (message.from() < partitionIndex) != (message.to() < partitionIndex);
    return isPartitioned
        || disconnected.contains(message.from())
        || disconnected.contains(message.to())
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
