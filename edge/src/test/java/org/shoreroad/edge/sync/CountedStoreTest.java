package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The calls to the store by their kinds. */
class CountedStoreTest {
  private final FakeStore store = new FakeStore();
  private final List<String> heard = new ArrayList<>();
  private final CountedStore counted = new CountedStore(store, store, heard::add);

  /** Hears what nobody waits for. */
  private record Unheard<T>() implements StoreCallback<T> {
    @Override
    public void onValue(T value) {
      // Only the call counts.
    }

    @Override
    public void onFault(StoreFault fault) {
      // Only the call counts.
    }
  }

  @Test
  void callsAreCountedByKindAndPassedOn() {
    counted.read(Topic.UPSTREAMS, 0, 5, new Unheard<>());
    counted.read(Topic.UPSTREAMS, 0, 5, new Unheard<>());
    counted.readNewest(Topic.PROCESSES, "", new Unheard<>());
    counted.join("g", "me", 2_000, 0, new Unheard<>());
    assertThat(
        counted.takeCounts(), is(Map.of("read_upstreams", 2, "newest_processes", 1, "join", 1)));
    assertThat(heard, contains("read_upstreams", "read_upstreams", "newest_processes", "join"));
    assertThat(store.calls(), contains("read 0", "read 0", "newest "));
  }

  @Test
  void countsBeginAnewOnceTheyAreTaken() {
    counted.owner("g", new Unheard<>());
    counted.takeCounts();
    counted.leave("g", "me", 1);
    assertThat(counted.takeCounts(), is(Map.of("leave", 1)));
  }
}
