package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;

class RecentChangesTest {
  private final RecentChanges changes = new RecentChanges();

  private void add(long from, long to) {
    for (long offset = from; offset < to; offset++) {
      changes.add(new StoreRecord(StorePosition.of(1, offset), "k" + offset, null));
    }
  }

  @Test
  void nothingIsKnownBeforeTheFirstListing() {
    assertThat(changes.since(StorePosition.of(1, 0)), is(nullValue()));
  }

  @Test
  void changesSinceAnOffsetAreReturned() {
    changes.restart(StorePosition.of(1, 10));
    add(10, 15);
    assertThat(changes.since(StorePosition.of(1, 9)), is(nullValue()));
    assertThat(changes.since(StorePosition.of(1, 10)).size(), is(5));
    assertThat(changes.since(StorePosition.of(1, 13)).get(0).offset(), is(13L));
    assertThat(changes.since(StorePosition.of(1, 15)).isEmpty(), is(true));
  }

  @Test
  void oldestChangesAreDropped() {
    changes.restart(StorePosition.of(1, 0));
    add(0, 3_000);
    assertThat(changes.since(StorePosition.of(1, 0)), is(nullValue()));
    assertThat(changes.since(StorePosition.of(1, 2_999)).size(), is(1));
  }
}
