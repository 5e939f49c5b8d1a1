package org.shoreroad.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.shoreroad.daemon.peer.PeerCodec;
import org.shoreroad.daemon.peer.PeerMessage;
import org.shoreroad.member.MembershipMessage;
import org.shoreroad.member.MembershipTiming;
import org.shoreroad.member.PeerStatus;
import org.shoreroad.member.SwimMembership;

/**
 * Measures the bytes and processor time of heartbeats, and the failure detection time, with many
 * processes on a simulated network.
 */
final class MembershipBench {
  private static final int[] SIZES = {9, 27, 81, 243, 810};
  private static final long PERIOD_MS = 1_000;
  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final int FRAME_BYTES = 4;
  private static final int TCP_BYTES = 2 * 66;
  private static final int WARM_UP_STEPS = 200;
  private static final int MEASURED_STEPS = 400;
  private static final int MAX_STEPS = 4_000;

  private final List<SwimMembership> nodes = new ArrayList<>();
  private List<Message> inFlight = new ArrayList<>();
  private long nowNanos;
  private long bytes;
  private int dead = -1;

  private record Message(int from, int to, MembershipMessage heartbeat) {}

  private MembershipBench(int size) {
    MembershipTiming timing = MembershipTiming.of(PERIOD_MS);
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      ids.add("n-0123abcd" + i);
    }
    for (int i = 0; i < size; i++) {
      SwimMembership node =
          new SwimMembership(ids.get(i), timing, i, i * STEP_NANOS % (PERIOD_MS * 1_000_000));
      node.setNodes(ids);
      nodes.add(node);
    }
  }

  static void run(Report report) {
    report.title("membership: one heartbeat a second, TCP headers counted at 2 x 66 bytes");
    List<Slope.Point> bytesPoints = new ArrayList<>();
    for (int size : SIZES) {
      MembershipBench bench = new MembershipBench(size);
      bench.runSteps(WARM_UP_STEPS);
      bench.bytes = 0;
      long begun = System.nanoTime();
      bench.runSteps(MEASURED_STEPS);
      double seconds = MEASURED_STEPS * STEP_NANOS / 1e9;
      double perNode = bench.bytes / seconds / size;
      double cpuShare = (System.nanoTime() - begun) / 1e9 / seconds / size;
      double detectionSeconds = bench.kill(size / 2);
      report.line(
          "%d processes: %.0f bytes/s sent by each, %.4f %% of a core each; a failed one is"
              + " marked dead by all after %.1f s",
          size, perNode, cpuShare * 100, detectionSeconds);
      bytesPoints.add(new Slope.Point(size, perNode));
    }
    report.slope("heartbeat bytes/s of one process", "processes", Slope.of(bytesPoints));
  }

  private double kill(int index) {
    dead = index;
    String id = "n-0123abcd" + index;
    long begunNanos = nowNanos;
    for (int step = 0; step < MAX_STEPS; step++) {
      runSteps(1);
      boolean isDeadEverywhere = true;
      for (int i = 0; i < nodes.size() && isDeadEverywhere; i++) {
        isDeadEverywhere = i == index || nodes.get(i).statusOf(id) == PeerStatus.DEAD;
      }
      if (isDeadEverywhere) {
        break;
      }
    }
    return (nowNanos - begunNanos) / 1e9;
  }

  private void runSteps(int count) {
    for (int step = 0; step < count; step++) {
      nowNanos += STEP_NANOS;
      List<Message> arriving = inFlight;
      inFlight = new ArrayList<>();
      for (Message message : arriving) {
        if (message.to() != dead && message.from() != dead) {
          String from = "n-0123abcd" + message.from();
          send(message.to(), nodes.get(message.to()).receive(from, message.heartbeat(), nowNanos));
        }
      }
      for (int i = 0; i < nodes.size(); i++) {
        if (i != dead) {
          send(i, nodes.get(i).tick(nowNanos));
        }
      }
    }
  }

  private void send(int from, List<SwimMembership.Outgoing> outgoing) {
    for (SwimMembership.Outgoing message : outgoing) {
      PeerMessage.Membership beat = new PeerMessage.Membership(message.message());
      bytes += FRAME_BYTES + TCP_BYTES + PeerCodec.toBytes(beat).length;
      int to = Integer.parseInt(message.nodeId().substring("n-0123abcd".length()));
      inFlight.add(new Message(from, to, message.message()));
    }
  }
}
