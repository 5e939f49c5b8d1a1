package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.peer.HeartbeatAdditions;
import org.shoreroad.edge.peer.Heartbeats;

class HeadViewsTest extends UpstreamFixture {
  private final HeadViews views = new HeadViews(table, backpressure, () -> nowNanos);

  @BeforeEach
  void listHeads() {
    list("h1", "OPEN");
    list("h2", "OPEN");
    list("h3", "CLOSING");
  }

  private HeadView view(String id) {
    return views.of(LLM, "m").stream().filter(head -> head.id().equals(id)).findFirst().get();
  }

  @Test
  void onlyOpenHeadsAreSeen() {
    assertThat(views.of(LLM, "m"), hasSize(2));
    assertThat(view("h1").domain(), is("llm/d"));
    assertThat(view("h1").isUsable(), is(true));
  }

  @Test
  void theGrantedPartOfTheLoadOfOthersIsToldApart() {
    List<Heartbeat.Load> loads = List.of(new Heartbeat.Load("h1", 5, 700, 10));
    HeartbeatAdditions additions = HeartbeatAdditions.NONE.withRoom(Map.of("h1", 3), Map.of());
    table.setPeerLoads(Map.of(Heartbeats.of("p").withRoom(0, loads, additions), nowNanos));
    assertThat(view("h1").openCount(), is(5));
    assertThat(view("h1").peerGrantedCount(), is(3));
    assertThat(view("h1").unreadTokens(), is(700L));
    table.setPeerLoads(Map.of());
    assertThat(view("h1").peerGrantedCount(), is(0));
  }

  @Test
  void noReportTellsMoreOfTheLoadGrantedThanItsOwn() {
    List<Heartbeat.Load> loads = List.of(new Heartbeat.Load("h1", 5, 700, 10));
    Map<String, Integer> tooMany = Map.of("h1", Integer.MAX_VALUE, "h2", 4);
    Map<String, Integer> negative = Map.of("h1", -7);
    HeartbeatAdditions none = HeartbeatAdditions.NONE;
    table.setPeerLoads(
        Map.of(
            Heartbeats.of("p").withRoom(0, loads, none.withRoom(tooMany, Map.of())), nowNanos,
            Heartbeats.of("q").withRoom(0, loads, none.withRoom(negative, Map.of())), nowNanos,
            Heartbeats.of("r").withRoom(0, loads, none), nowNanos));
    assertThat(view("h1").openCount(), is(15));
    assertThat(view("h1").peerGrantedCount(), is(5));
    assertThat(view("h2").peerGrantedCount(), is(0));
  }

  @Test
  void suspectedAndAvoidedHeadsAreNotUsable() {
    assertThat(view("h1").isUsable(), is(true));
    table.loadOf("h1").suspect(true, nowNanos);
    table.loadOf("h2").avoidUntil(nowNanos + 1);
    assertThat(view("h1").isUsable(), is(false));
    assertThat(view("h2").isUsable(), is(false));
  }

  @Test
  void headsThatAreBeingClosedAreNotUsable() {
    List<HeadView> heads = views.of(LLM, "m", Set.of("h1"));
    for (HeadView head : heads) {
      assertThat(head.isUsable(), is(head.id().equals("h2")));
    }
  }
}
