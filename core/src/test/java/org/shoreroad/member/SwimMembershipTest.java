package org.shoreroad.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of the detection of dead nodes, of false positives and of the number of messages. */
class SwimMembershipTest {
  @ParameterizedTest
  @ValueSource(ints = {3, 9, 27, 81})
  void testTick_allNodesDetectADeadNode(int count) {
    MembershipSimulation simulation = new MembershipSimulation(count, 1);
    simulation.run(20);
    simulation.disconnect(0);
    int periods =
        simulation.runUntil(() -> simulation.countViewsWithStatus(0, PeerStatus.DEAD), 60);
    assertThat(periods, lessThan(60));
    for (int i = 1; i < count; i++) {
      assertThat(simulation.countViewsWithStatus(i, PeerStatus.DEAD), is(0));
    }
  }

  @Test
  void testTick_messageLossCausesNoFalsePositive() {
    MembershipSimulation simulation = new MembershipSimulation(27, 2);
    simulation.setLossPercent(10);
    int worst = 0;
    for (int i = 0; i < 200; i++) {
      simulation.run(1);
      for (int node = 0; node < 27; node++) {
        worst = Math.max(worst, simulation.countViewsWithStatus(node, PeerStatus.DEAD));
      }
    }
    assertThat(worst, is(0));
  }

  @Test
  void testTick_reconnectedNodeIsAliveAgain() {
    MembershipSimulation simulation = new MembershipSimulation(9, 3);
    simulation.run(20);
    simulation.disconnect(4);
    simulation.run(40);
    assertThat(simulation.countViewsWithStatus(4, PeerStatus.DEAD), is(8));
    simulation.reconnect(4);
    int periods =
        simulation.runUntil(() -> simulation.countViewsWithStatus(4, PeerStatus.ALIVE), 60);
    assertThat(periods, lessThan(60));
  }

  @Test
  void testIsMajorityAlive_falseInMinorityPartition() {
    MembershipSimulation simulation = new MembershipSimulation(9, 4);
    simulation.run(20);
    simulation.partition(3);
    simulation.run(60);
    assertThat(simulation.node(0).isMajorityAlive(), is(false));
    assertThat(simulation.node(8).isMajorityAlive(), is(true));
  }

  @Test
  void testLeave_allNodesSeeLeaving() {
    MembershipSimulation simulation = new MembershipSimulation(9, 5);
    simulation.run(20);
    simulation.node(2).leave();
    int periods =
        simulation.runUntil(() -> simulation.countViewsWithStatus(2, PeerStatus.LEAVING), 40);
    assertThat(periods, lessThan(40));
    assertThat(simulation.node(0).workingIds().contains("n2"), is(false));
    assertThat(simulation.node(0).aliveIds().contains("n2"), is(true));
  }

  @Test
  void testTick_messagesPerNodeDoNotGrowWithNodeCount() {
    double small = messagesPerNodePeriod(9);
    double large = messagesPerNodePeriod(81);
    assertThat(small, greaterThan(1.0));
    assertThat(large / small, lessThan(1.2));
  }

  private static double messagesPerNodePeriod(int count) {
    MembershipSimulation simulation = new MembershipSimulation(count, 6);
    simulation.run(20);
    long before = simulation.messages();
    simulation.run(50);
    return (simulation.messages() - before) / (50.0 * count);
  }
}
