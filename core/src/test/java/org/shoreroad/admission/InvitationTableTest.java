package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class InvitationTableTest {
  private final InvitationTable table = new InvitationTable(4, 2, 10);

  @Test
  void aCallerIsDueFromShortlyBeforeItsTimeUntilItExpires() {
    table.add(7, 1_000, 2_000, 0);
    assertThat(table.isDue(7, 989), is(false));
    assertThat(table.isDue(7, 990), is(true));
    assertThat(table.isDue(7, 2_000), is(true));
    assertThat(table.isDue(8, 1_000), is(false));
    assertThat(table.isDue(7, 2_001), is(false));
    assertThat(table.size(), is(0));
  }

  @Test
  void callersWithTheSameContentAreCounted() {
    table.add(7, 1_000, 2_000, 0);
    table.add(7, 500, 1_500, 0);
    assertThat(table.hasRoom(7, 0), is(false));
    table.add(7, 100, 1_500, 0);
    assertThat(table.isDue(7, 500), is(true));
    assertThat(table.remove(7), is(true));
    assertThat(table.isDue(7, 1_900), is(true));
    assertThat(table.remove(7), is(true));
    assertThat(table.remove(7), is(false));
  }

  @Test
  void aFullTableTakesNoMoreUntilSomethingExpires() {
    for (int i = 0; i < 10; i++) {
      table.add(i, 1_000, 2_000, 0);
    }
    assertThat(table.size(), is(4));
    assertThat(table.hasRoom(100, 1_000), is(false));
    assertThat(table.hasRoom(100, 200_000_000), is(true));
    assertThat(table.size(), is(0));
  }
}
