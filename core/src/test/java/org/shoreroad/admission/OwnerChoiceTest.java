package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.shoreroad.admission.OwnerChoice.Candidate;

class OwnerChoiceTest {
  private final SplittableRandom random = new SplittableRandom(5);

  private int countChosen(String name, List<Candidate> candidates, int draws) {
    int count = 0;
    for (int i = 0; i < draws; i++) {
      if (OwnerChoice.choose(candidates, random).orElseThrow().name().equals(name)) {
        count++;
      }
    }
    return count;
  }

  @Test
  void withoutCandidatesThereIsNoChoice() {
    assertThat(OwnerChoice.choose(List.of(), random).isPresent(), is(false));
  }

  @Test
  void anOwnerWithMoreRoomIsAskedMoreOftenButNotAlone() {
    List<Candidate> owners =
        List.of(new Candidate("a", 30, 40, true), new Candidate("b", 10, 40, true));
    int count = countChosen("a", owners, 1_000);
    assertThat(count, greaterThan(750));
    assertThat(count, lessThan(1_000));
  }

  @Test
  void theOwnZoneComesFirstWhileItHasRoom() {
    List<Candidate> owners =
        List.of(new Candidate("near", 8, 40, true), new Candidate("far", 40, 40, false));
    assertThat(countChosen("near", owners, 100), is(100));
  }

  @Test
  void otherZonesCountOnceTheOwnOneIsNearlyFull() {
    List<Candidate> owners =
        List.of(new Candidate("near", 2, 40, true), new Candidate("far", 40, 40, false));
    assertThat(countChosen("far", owners, 100), greaterThan(80));
  }

  @Test
  void amongFullOwnersOneIsStillChosen() {
    List<Candidate> owners =
        List.of(new Candidate("a", 0, 40, true), new Candidate("b", -3, 40, false));
    assertThat(countChosen("a", owners, 1_000), greaterThan(300));
    assertThat(countChosen("b", owners, 1_000), greaterThan(300));
  }

  @Test
  void anOwnerWithoutSlotsIsNoCandidate() {
    assertThrows(IllegalArgumentException.class, () -> new Candidate("a", 0, 0, true));
  }
}
