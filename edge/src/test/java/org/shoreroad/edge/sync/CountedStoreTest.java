package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests that calls to the store are counted by kind. */
class CountedStoreTest {
  private final FakeStore store = new FakeStore();
  private final List<String> countedKinds = new ArrayList<>();
  private final CountedStore counted = new CountedStore(store, store, countedKinds::add);

  /** Callback that ignores the result. */
  private record IgnoringCallback<T>() implements StoreCallback<T> {
    @Override
    public void onValue(T value) {
      // Only the call matters.
    }

    @Override
    public void onFault(StoreFault fault) {
      // Only the call matters.
    }
  }

  @Test
  void callsAreCountedByKindAndPassedOnToTheStore() {
    counted.read(Topic.UPSTREAMS, 0, 5, new IgnoringCallback<>());
    counted.read(Topic.UPSTREAMS, 0, 5, new IgnoringCallback<>());
    counted.readNewest(Topic.PROCESSES, "", new IgnoringCallback<>());
    counted.join("g", "me", 2_000, 0, new IgnoringCallback<>());
    assertThat(
        counted.takeCounts(), is(Map.of("read_upstreams", 2, "newest_processes", 1, "join", 1)));
    assertThat(
        countedKinds, contains("read_upstreams", "read_upstreams", "newest_processes", "join"));
    assertThat(store.calls(), contains("read 0", "read 0", "newest "));
  }

  @Test
  void takingTheCountsResetsThem() {
    counted.owner("g", new IgnoringCallback<>());
    counted.takeCounts();
    counted.leave("g", "me", 1);
    assertThat(counted.takeCounts(), is(Map.of("leave", 1)));
  }
}
