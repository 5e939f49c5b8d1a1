package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
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

  private void addLarge(long offset, int bytes) {
    changes.add(new StoreRecord(StorePosition.of(1, offset), "k" + offset, new byte[bytes]));
  }

  /** Guards against heartbeats larger than the maximum, which end the connection. */
  @Test
  void changesTooLargeForAHeartbeatAreNotReturned() {
    changes.restart(StorePosition.of(1, 0));
    for (int offset = 0; offset < 5; offset++) {
      addLarge(offset, 250_000);
    }
    assertThat(changes.since(StorePosition.of(1, 0)), is(nullValue()));
    assertThat(changes.since(StorePosition.of(1, 3)).size(), is(2));
  }

  /** Guards against large entries of other writers that fill the memory of the process. */
  @Test
  void oldestChangesAreDroppedIfAllAreTooLarge() {
    changes.restart(StorePosition.of(1, 0));
    for (int offset = 0; offset < 100; offset++) {
      addLarge(offset, 250_000);
    }
    add(100, 110);
    assertThat(changes.since(StorePosition.of(1, 84)), is(nullValue()));
    assertThat(changes.since(StorePosition.of(1, 98)).size(), is(12));
    assertThat(changes.keptBytes(), lessThanOrEqualTo(4_194_304L));
  }
}
