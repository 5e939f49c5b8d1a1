package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;

class BoundedMapTest {
  @Test
  void oldestEntryIsDroppedWhenFull() {
    Map<String, Integer> map = new BoundedMap<>(2);
    map.put("a", 1);
    map.put("b", 2);
    map.put("a", 3);
    map.put("c", 4);
    assertThat(map.keySet(), contains("b", "c"));
  }

  @Test
  void limitOfZeroIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> new BoundedMap<String, String>(0));
  }
}
