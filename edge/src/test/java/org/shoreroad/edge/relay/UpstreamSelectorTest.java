package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.peer.Heartbeat;

class UpstreamSelectorTest extends UpstreamFixture {
  @Test
  void onlyOpenHeadsThatAreNotLeavingAreChosen() {
    list("ready", "READY");
    list("closing", "CLOSING");
    list("leaving", "leaving");
    assertThat(choose(Set.of()) == null, is(true));
    list("open", "OPEN");
    assertThat(choose(Set.of()), is("open"));
    assertThat(choose(Set.of("open")) == null, is(true));
  }

  @Test
  void anUpstreamThatIsNoLongerListedIsNotChosen() {
    list("a", "OPEN");
    list("a", null);
    fleet.reconcile(TimeUnit.MINUTES.toNanos(1));
    assertThat(choose(Set.of()) == null, is(true));
  }

  @Test
  void theLoadOfOtherProcessesCounts() {
    list("a", "OPEN");
    list("b", "OPEN");
    setPeerLoad("a", 3, 0, 0);
    for (int i = 0; i < 20; i++) {
      assertThat(choose(Set.of()), is("b"));
    }
  }

  @Test
  void manyProcessesWithOldReportsDoNotAllChooseTheSameHead() {
    int heads = 20;
    List<Heartbeat.Load> loads = new ArrayList<>();
    for (int i = 0; i < heads; i++) {
      list("h" + i, "OPEN");
      loads.add(new Heartbeat.Load("h" + i, i == 0 ? 0 : 1, 0, 0));
    }
    table.setPeerLoads(Map.of(heartbeatWith(loads), nowNanos));
    selector.setProcessCount(80);
    int choices = 400;
    int idle = 0;
    for (int i = 0; i < choices; i++) {
      idle += "h0".equals(choose(Set.of())) ? 1 : 0;
    }
    // A uniform choice gives each head a twentieth. The idle one gets more, but not most requests.
    assertThat(idle, is(both(greaterThan(choices / heads)).and(lessThan(choices / 4))));
  }

  @Test
  void aFullHeadIsNotChosen() {
    list("a", "OPEN");
    setPeerLoad("a", SLOTS, 0, 0);
    assertThat(choose(Set.of()) == null, is(true));
    setPeerLoad("a", SLOTS - 1, 0, 0);
    assertThat(choose(Set.of()), is("a"));
  }

  @Test
  void aHeadWithTooLongAPromptBacklogIsNotChosen() {
    list("a", "OPEN");
    setPeerLoad("a", 1, 14_000, 0);
    assertThat(choose(Set.of()) == null, is(true));
  }

  @Test
  void aHealthyHeadIsPreferredToAFailingOne() {
    list("a", "OPEN");
    list("b", "OPEN");
    for (int i = 0; i < 5; i++) {
      table.loadOf("a").recordOutcome(true);
    }
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 50; i++) {
      counts.merge(String.valueOf(choose(Set.of())), 1, Integer::sum);
    }
    assertThat(counts.get("b"), is(50));
  }

  @Test
  void aFastHeadIsPreferredToASlowOne() {
    list("a", "OPEN");
    list("b", "OPEN");
    setPeerLoad("b", 1, 0, 0);
    for (int i = 0; i < 20; i++) {
      table.loadOf("a").pace().record(TimeUnit.MILLISECONDS.toNanos(160), 40, nowNanos);
    }
    assertThat(choose(Set.of()), is("b"));
  }

  @Test
  void plainUpstreamsAreChosenByService() {
    list("w", "web");
    assertThat(selector.choose(WEB, null, Set.of(), TARGET_MS).isPresent(), is(true));
    assertThat(selector.hasAny(LLM, "m"), is(false));
  }

  @Test
  void upstreamWithoutDirectPathIsUsedOnlyIfNoOtherIsFree() {
    list("a", "OPEN");
    list("b", "OPEN");
    selector.setPaths(box -> true, box -> box.id().equals("a"));
    assertThat(choose(Set.of()), is("b"));
    assertThat(choose(Set.of("b")), is("a"));
  }

  @Test
  void upstreamWithoutAnyPathIsNotUsed() {
    list("a", "OPEN");
    selector.setPaths(box -> false, box -> true);
    assertThat(choose(Set.of()), is(nullValue()));
    assertThat(selector.findHeldBack(LLM, "m"), is(Refusal.NO_PATH));
  }
}
