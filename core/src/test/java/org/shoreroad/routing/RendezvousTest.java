package org.shoreroad.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of positions in a ranking. */
class RendezvousTest {
  @Test
  void thePositionOfANameIsItsIndexInTheRanking() {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      names.add("process-" + i);
    }
    for (String key : List.of("reader", "llm/d0", "llm/d1")) {
      List<String> ranking = Rendezvous.rank(key, names, name -> name);
      for (String name : names) {
        assertThat(Rendezvous.positionOf(name, key, names), is(ranking.indexOf(name)));
      }
    }
  }

  @Test
  void aNameThatIsNotListedHasThePositionItWouldTake() {
    List<String> others = List.of("a", "b", "c", "d");
    List<String> all = List.of("a", "b", "c", "d", "me");
    int position = Rendezvous.rank("key", all, name -> name).indexOf("me");
    assertThat(Rendezvous.positionOf("me", "key", others), is(position));
  }
}
