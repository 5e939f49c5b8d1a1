package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.peer.Digest.ReceivedHeartbeat;
import org.shoreroad.edge.peer.Heartbeat.Load;
import org.shoreroad.edge.peer.Heartbeat.Scope;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;

class DigestTest {
  private static final long NOW_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static ReceivedHeartbeat received(Heartbeat heartbeat, int agoMs) {
    return new ReceivedHeartbeat(heartbeat, NOW_NANOS - TimeUnit.MILLISECONDS.toNanos(agoMs));
  }

  private static Heartbeat merge(Heartbeat own, Scope scope, List<ReceivedHeartbeat> others) {
    return Digest.merge(own, scope, others, others, List.of(), ListUpdate.NONE, NOW_NANOS);
  }

  @Test
  void loadsAreSummedWithTheLatestProgress() {
    Heartbeat own = Heartbeats.of("hub").withLoads(List.of(new Load("i-1", 2, 100, 50)));
    Heartbeat member = Heartbeats.of("m").withLoads(List.of(new Load("i-1", 3, 20, 10)));
    Heartbeat merged = merge(own, Scope.HUB, List.of(received(member, 30)));
    assertThat(merged.loads(), contains(new Load("i-1", 5, 120, 40)));
    assertThat(merged.processes(), is(2));
    assertThat(merged.sender(), is("hub"));
  }

  @Test
  void heartbeatToMemberExcludesItsOwnLoad() {
    Heartbeat own = Heartbeats.of("hub").withLoads(List.of(new Load("i-1", 2, 100, 50)));
    Heartbeat one =
        Heartbeats.of("m1")
            .withLoads(List.of(new Load("i-1", 3, 20, 10), new Load("i-2", 1, 5, 9)));
    Heartbeat two = Heartbeats.of("m2").withLoads(List.of(new Load("i-3", 4, 0, 70)));
    Heartbeat total = merge(own, Scope.REST, List.of(received(one, 0), received(two, 0)));
    Heartbeat toOne = Digest.without(total, one, ListUpdate.readTo(StorePosition.of(1, 7)));
    assertThat(
        toOne.loads(), containsInAnyOrder(new Load("i-1", 2, 100, 10), new Load("i-3", 4, 0, 70)));
    assertThat(toOne.processes(), is(2));
    assertThat(toOne.listUpdate(), is(ListUpdate.readTo(StorePosition.of(1, 7))));
    assertThat(
        Digest.without(total, two, ListUpdate.NONE).loads(),
        containsInAnyOrder(new Load("i-1", 5, 120, 10), new Load("i-2", 1, 5, 9)));
  }

  @Test
  void boxIsSilentOnlyIfItAnswersNoWitness() {
    Heartbeat own = Heartbeats.of("hub").withQuestions(Map.of(), Set.of("i-1", "i-2"));
    Heartbeat other = Heartbeats.of("hub-2").withQuestions(Map.of(), Set.of("i-2"));
    Heartbeat merged = merge(own, Scope.REST, List.of(received(other, 0)));
    assertThat(merged.silentUpstreams(), is(Set.of("i-2")));
  }

  @Test
  void questionsAreSentToHubsButNotToMembers() {
    Heartbeat own = Heartbeats.of("hub").withQuestions(Map.of(), Set.of());
    Heartbeat member = Heartbeats.of("m").withQuestions(Map.of("i-1", "h:1"), Set.of());
    List<ReceivedHeartbeat> others = List.of(received(member, 0));
    assertThat(merge(own, Scope.HUB, others).askedUpstreams(), is(Map.of("i-1", "h:1")));
    assertThat(merge(own, Scope.REST, others).askedUpstreams(), is(Map.of()));
  }
}
