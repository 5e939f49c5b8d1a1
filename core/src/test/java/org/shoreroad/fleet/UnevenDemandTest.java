package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

class UnevenDemandTest {
  private static final long SEED = 11;
  private static final double SWING = 0.55;
  private static final double PERIOD_SECONDS = 15;
  private static final double SWING_SECONDS = 60;

  /** Aim for the model that is served worse, where the boxes suffice for more. */
  private static final double LOWEST_SHARE_IN_SHIFT = 0.65;

  private static DoubleUnaryOperator wave(double mean, double phase) {
    return second -> mean * (1 + SWING * Math.sin(2 * Math.PI * (second / PERIOD_SECONDS + phase)));
  }

  /** Plays that the large model's demand rises to 1.6 and that of the small one falls to 0.7. */
  private static void shift(DomainsPlay play) {
    play.run(14, second -> 6 * 1.6, second -> 10 * 0.7);
  }

  private static void usualTime(DomainsPlay play) {
    play.run(PERIOD_SECONDS, second -> 6 * 0.9, second -> 10 * 0.9);
    play.resetShares();
  }

  @Test
  void boxesMoveToTheModelThatIsShortInALastingShift() {
    DomainsPlay byOpen = DomainsPlay.prepared(false, SEED);
    DomainsPlay byNeed = DomainsPlay.prepared(true, SEED);
    for (DomainsPlay play : List.of(byOpen, byNeed)) {
      usualTime(play);
      shift(play);
    }
    assertThat(byNeed.lowestShare(), is(greaterThan(byOpen.lowestShare())));
    assertThat(byNeed.lowestShare(), is(greaterThanOrEqualTo(LOWEST_SHARE_IN_SHIFT)));
    // At most one in each domain.
    assertThat(byNeed.conversions().size(), is(lessThanOrEqualTo(DomainsPlay.DOMAINS)));
    assertThat(byNeed.violations(), is(empty()));
  }

  @Test
  void shiftAtTheBeginOfTrafficIsServedToo() {
    DomainsPlay byNeed = DomainsPlay.prepared(true, SEED);
    shift(byNeed);
    assertThat(byNeed.lowestShare(), is(greaterThanOrEqualTo(LOWEST_SHARE_IN_SHIFT)));
  }

  @Test
  void fewReplicasAreConvertedInSwingsAndNoModelIsServedWorse() {
    for (double load : List.of(1.0, 1.2, 1.4)) {
      for (double phase : List.of(0.0, 0.25, 0.5)) {
        DomainsPlay byOpen = DomainsPlay.prepared(false, SEED);
        DomainsPlay byNeed = DomainsPlay.prepared(true, SEED);
        for (DomainsPlay play : List.of(byOpen, byNeed)) {
          play.run(SWING_SECONDS, wave(load * 5, 0), wave(load * 10, phase));
        }
        assertThat(byNeed.lowestShare(), is(greaterThanOrEqualTo(byOpen.lowestShare())));
        // At most one in each period of the swing.
        int periods = (int) (SWING_SECONDS / PERIOD_SECONDS);
        assertThat(byNeed.conversions().size(), is(lessThanOrEqualTo(periods)));
        assertThat(byNeed.violations(), is(empty()));
      }
    }
  }

  @Test
  void evenDemandLeadsToNoConversion() {
    DomainsPlay play = DomainsPlay.prepared(true, SEED);
    play.run(SWING_SECONDS, second -> 5.0, second -> 10.0);
    assertThat(play.conversions(), is(empty()));
    assertThat(play.lowestShare(), is(greaterThan(0.999)));
  }

  @Test
  void domainThatLosesBoxesInItsConversionRecovers() {
    DomainsPlay play = DomainsPlay.prepared(true, SEED);
    usualTime(play);
    while (play.conversions().isEmpty()) {
      play.run(0.05, second -> 6 * 1.6, second -> 10 * 0.7);
    }
    FakeDomain converting = play.domain(0);
    converting.liveIds().subList(2, 4).forEach(converting::kill);
    shift(play);
    shift(play);
    assertThat(play.lowestShare(), is(greaterThanOrEqualTo(LOWEST_SHARE_IN_SHIFT)));
    assertThat(converting.countOpen(DomainsPlay.LARGE), is(greaterThanOrEqualTo(1L)));
    assertThat(play.violations(), is(empty()));
  }

  @Test
  void spareBoxesCompleteALostReplicaWithOneLoadEach() {
    DomainsPlay play = DomainsPlay.prepared(true, SEED);
    usualTime(play);
    FakeDomain domain = play.domain(0);
    domain.loseMemberAndSpares(DomainsPlay.LARGE);
    domain.addBox();
    domain.addBox();
    // The load takes 16 s, the detection of the loss, joining and opening take the rest.
    play.run(25, second -> 6 * 1.1, second -> 10.0);
    assertThat(domain.countOpen(DomainsPlay.LARGE), is(1L));
    assertThat(play.violations(), is(empty()));
  }

  @Test
  void noReplicaIsClosedIfTheWeightsMustComeFromASlowStore() {
    DomainsPlay play = DomainsPlay.unprepared(SEED);
    shift(play);
    assertThat(play.conversions(), is(empty()));
    assertThat(play.count(DomainsPlay.SMALL), is(12));
  }
}
