package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.FleetBox;

class EntryHistoryTest {
  private final EntryHistory history = new EntryHistory();

  private static ListedEntry entry(boolean isLeaving, long bornMs, long era, long offset) {
    FleetBox box =
        new FleetBox("a", "s", "h:1", "z", 1, isLeaving, null, null, List.of(), null)
            .withStart(bornMs);
    return new ListedEntry(box, StorePosition.of(era, offset));
  }

  @Test
  void leavingOverridesACopyOnlyForTheSameIncarnation() {
    history.noteEntry(entry(true, 7, 1, 9));
    assertThat(history.withKnownLeaving(entry(false, 7, 2, 4)).box().isLeaving(), is(true));
    assertThat(history.withKnownLeaving(entry(false, 8, 2, 4)).box().isLeaving(), is(false));
    assertThat(history.withKnownLeaving(entry(false, 7, 2, 10)).box().isLeaving(), is(false));
    assertThat(history.withKnownLeaving(entry(false, 7, 1, 12)).box().isLeaving(), is(false));
  }

  /** The copy is listed a second time before the upstream has written its leaving entry again. */
  @Test
  void secondListingOfTheCopyDoesNotRevokeLeaving() {
    history.noteEntry(entry(true, 7, 1, 9));
    history.noteEntry(history.withKnownLeaving(entry(false, 7, 2, 4)));
    history.noteListed(StorePosition.of(2, 5));
    assertThat(history.withKnownLeaving(entry(false, 7, 2, 4)).box().isLeaving(), is(true));
    assertThat(history.withKnownLeaving(entry(false, 7, 2, 6)).box().isLeaving(), is(false));
  }

  @Test
  void entryBeyondAListingIsNewerThanKnownLeaving() {
    history.noteEntry(entry(true, 7, 1, 9));
    history.noteListed(StorePosition.of(2, 5));
    assertThat(history.withKnownLeaving(entry(false, 7, 2, 5)).box().isLeaving(), is(false));
  }

  @Test
  void removedEntryFromACopyIsHeldBackForALimitedTime() {
    history.noteRemoved(entry(false, 7, 1, 3).box(), StorePosition.of(1, 9));
    assertThat(history.holdBackIfRemoved(entry(false, 7, 1, 12), 0), is(false));
    assertThat(history.holdBackIfRemoved(entry(false, 7, 2, 4), 0), is(true));
    assertThat(history.takeReleased(EntryHistory.HOLD_NANOS - 1), empty());
    assertThat(history.takeReleased(EntryHistory.HOLD_NANOS), contains("a"));
    assertThat(
        history.holdBackIfRemoved(entry(false, 7, 2, 4), EntryHistory.HOLD_NANOS), is(false));
  }
}
