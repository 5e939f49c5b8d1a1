package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.FleetBox;

class AddressTableTest {
  private final AddressTable table = new AddressTable();

  private static ListedEntry entry(String id, long era, long offset) {
    FleetBox box = new FleetBox(id, "s", "h:1", "z", 1, false, null, null, List.of(), null);
    return new ListedEntry(box, StorePosition.of(era, offset));
  }

  @Test
  void offsetsOfTwoErasMayHaveNoKnownOrder() {
    table.assign(entry("a", 1, 9));
    assertThat(table.otherAt(entry("a", 1, 12).box()), is(nullValue()));
    assertThat(table.otherAt(entry("b", 2, 4).box()), is("a"));
    assertThat(table.isAfter(entry("b", 2, 4), "a"), is(false));
    assertThat(table.isBefore(entry("b", 2, 4), "a"), is(false));
    assertThat(table.isBefore(entry("b", 1, 4), "a"), is(true));
    assertThat(table.isAfter(entry("b", 2, 10), "a"), is(true));
  }

  @Test
  void waitingEntryIsReturnedWhenTheAddressIsReleased() {
    table.assign(entry("a", 1, 9));
    table.addWaiting(entry("b", 2, 4));
    assertThat(table.hasWaiting("h:1"), is(true));
    assertThat(table.release(entry("a", 1, 9).box()), is(Optional.of(entry("b", 2, 4))));
    assertThat(table.find("h:1"), is(nullValue()));
    assertThat(table.hasWaiting("h:1"), is(false));
  }

  @Test
  void unlistedUpstreamIsOlderThanLaterEntries() {
    table.assign(entry("a", 1, 9));
    table.noteUnlisted("a", StorePosition.of(2, 5));
    assertThat(table.isAfter(entry("b", 2, 5), "a"), is(true));
    assertThat(table.isAfter(entry("b", 2, 4), "a"), is(false));
  }

  @Test
  void releaseByFormerHolderHasNoEffect() {
    table.assign(entry("a", 1, 3));
    table.assign(entry("b", 1, 9));
    table.addWaiting(entry("c", 2, 4));
    assertThat(table.release(entry("a", 1, 3).box()), is(Optional.empty()));
    assertThat(table.find("h:1"), is("b"));
  }
}
