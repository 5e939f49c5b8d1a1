package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.Evacuations.State;

class EvacuationsTest {
  private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
  private final EventLog log = new EventLog("t", () -> 0, logged);
  private final Evacuations evacuations = new Evacuations(log);
  private final List<String> returned = new ArrayList<>();

  EvacuationsTest() {
    evacuations.addReturnListener(returned::add);
  }

  private static StorePosition at(long era, long offset) {
    return StorePosition.of(era, offset);
  }

  @Test
  void aZoneIsEvacuatedUntilTheRequestIsWithdrawn() {
    evacuations.applyRecord("a", true, at(1, 5));
    assertThat(evacuations.isEvacuated("a"), is(true));
    assertThat(evacuations.isEvacuated("b"), is(false));
    evacuations.applyRecord("a", false, at(1, 6));
    assertThat(evacuations.isEmpty(), is(true));
    assertThat(returned, contains("a"));
    assertThat(evacuations.changes(), is(2L));
  }

  @Test
  void aRepeatedRequestChangesNothing() {
    evacuations.applyRecord("a", true, at(1, 5));
    evacuations.applyRecord("a", true, at(1, 8));
    assertThat(evacuations.changes(), is(1L));
    evacuations.applyRecord("a", false, at(1, 7));
    assertThat("an older withdrawal", evacuations.isEvacuated("a"), is(true));
  }

  @Test
  void aWithdrawalOfWhatWasNeverRequestedReturnsNothing() {
    evacuations.applyRecord("a", false, at(1, 5));
    assertThat(returned.isEmpty(), is(true));
  }

  @Test
  void theNewestReportOfAPeerCounts() {
    evacuations.applyReport(new State("a", true, at(1, 5)));
    assertThat(evacuations.isEvacuated("a"), is(true));
    evacuations.applyReport(new State("a", false, at(1, 9)));
    evacuations.applyReport(new State("a", true, at(1, 5)));
    assertThat(evacuations.isEvacuated("a"), is(false));
  }

  @Test
  void aCopyOfTheStoreWithoutTheWithdrawalDoesNotEvacuateAgain() {
    evacuations.applyRecord("a", true, at(1, 5));
    evacuations.applyRecord("a", false, at(1, 9));
    // The listing of the copy.
    evacuations.applyRecord("a", true, at(2, 5));
    evacuations.applyListing(Set.of("a"), at(2, 7));
    assertThat(evacuations.isEvacuated("a"), is(false));
  }

  @Test
  void aRequestAfterTheListingOfACopyCountsAtALowerOffset() {
    evacuations.applyRecord("a", false, at(1, 90));
    evacuations.applyListing(Set.of(), at(2, 7));
    evacuations.applyRecord("a", true, at(2, 7));
    assertThat(evacuations.isEvacuated("a"), is(true));
    evacuations.applyReport(new State("a", false, at(1, 90)));
    assertThat("a report of the former era", evacuations.isEvacuated("a"), is(true));
  }

  @Test
  void aLateRecordOfAFormerEraDoesNotReplaceAReportOfTheNewOne() {
    evacuations.applyListing(Set.of(), at(1, 7));
    evacuations.applyReport(new State("a", false, at(2, 20)));
    evacuations.applyRecord("a", true, at(1, 8));
    assertThat(evacuations.isEvacuated("a"), is(false));
  }

  @Test
  void aCopyOfTheStoreWithoutTheRequestKeepsIt() {
    evacuations.applyRecord("a", true, at(1, 50));
    evacuations.applyListing(Set.of(), at(2, 7));
    assertThat(evacuations.isEvacuated("a"), is(true));
    evacuations.applyRecord("a", false, at(2, 8));
    assertThat(evacuations.isEvacuated("a"), is(false));
  }

  @Test
  void aListingWithoutTheKeyWithdrawsAnEarlierRequest() {
    evacuations.applyRecord("a", true, at(1, 5));
    evacuations.applyRecord("b", true, at(1, 6));
    evacuations.applyListing(Set.of("b"), at(1, 20));
    assertThat(evacuations.isEvacuated("a"), is(false));
    assertThat(evacuations.isEvacuated("b"), is(true));
    assertThat(returned, contains("a"));
  }

  @Test
  void aRequestAfterTheListingBeganIsNotWithdrawnByIt() {
    evacuations.applyReport(new State("a", true, at(1, 30)));
    evacuations.applyListing(Set.of(), at(1, 20));
    assertThat(evacuations.isEvacuated("a"), is(true));
  }

  @Test
  void anUnknownZoneIsLogged() {
    evacuations.setZoneCheck("a"::equals);
    evacuations.applyRecord("nowhere", true, at(1, 5));
    log.flush();
    assertThat(
        logged.toString(StandardCharsets.UTF_8),
        containsString("\"event\":\"zone_evacuated\",\"zone\":\"nowhere\",\"isKnown\":false"));
  }

  @Test
  void theNumberOfZonesIsBounded() {
    for (int i = 0; i < 1_000; i++) {
      evacuations.applyRecord("zone-" + i, true, at(1, i));
      evacuations.applyReport(new State("other-" + i, true, at(1, i)));
    }
    assertThat(evacuations.states().size(), is(256));
  }
}
