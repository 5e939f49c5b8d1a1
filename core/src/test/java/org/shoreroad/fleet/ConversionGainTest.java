package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ConversionGainTest {
  private static final List<ModelShape> MODELS =
      List.of(
          new ModelShape("large", 12, 0.5, 1, 16, 1.6),
          new ModelShape("small", 6, 0.5, 0.6, 12, 1.1));
  private static final Map<String, Integer> BEFORE = Map.of("large", 4, "small", 8);

  private static DomainPacking packing(double neededLarge, double neededSmall) {
    return packing(neededLarge, neededSmall, neededSmall);
  }

  private static DomainPacking packing(double neededLarge, double neededSmall, double peakSmall) {
    Demand.Strain strain =
        new Demand.Strain(
            Map.of("large", neededLarge, "small", neededSmall),
            Map.of("large", neededLarge, "small", peakSmall),
            Map.of(),
            Map.of());
    // All replicas are in this domain, so none are elsewhere.
    return DomainPacking.of(MODELS, new Demand(Map.of(), Map.of(), true, strain), List.of());
  }

  private static double gain(double neededLarge, double neededSmall, double lastingSeconds) {
    return ConversionGain.of(
        packing(neededLarge, neededSmall),
        BEFORE,
        Map.of("small", 2),
        Map.of("large", 5, "small", 6),
        lastingSeconds);
  }

  @Test
  void lastingImbalanceIsWorthAConversion() {
    // One more of the large replicas for the six seconds after the conversion.
    assertThat(gain(8, 4, 10), is(closeTo(6, 1e-9)));
  }

  @Test
  void shortImbalanceIsNot() {
    assertThat(gain(8, 4, 4), is(closeTo(0, 1e-9)));
    assertThat(gain(8, 4, 1), is(closeTo(0, 1e-9)));
  }

  @Test
  void modelThatLosesItsReplicasCounts() {
    // Small: 0.8 * 6 / 8 = 0.6 during and after the conversion; large: 0.8 * 4 / 5 = 0.64 before.
    assertThat(gain(5, 8, 10), is(lessThan(0.0)));
  }

  @Test
  void unservedModelIsWorthAConversionEvenIfItNeedsLittle() {
    Map<String, Integer> before = Map.of("large", 0, "small", 4);
    Map<String, Integer> after = Map.of("large", 1, "small", 2);
    double gain = ConversionGain.of(packing(0.1, 2), before, Map.of("small", 2), after, 10);
    assertThat(gain, is(greaterThan(2.5)));
  }

  @Test
  void asManyDomainsActAsGainByIt() {
    Map<String, Integer> before = Map.of("large", 6, "small", 12);
    Map<String, Integer> after = Map.of("large", 7, "small", 10);
    Map<String, Integer> closed = Map.of("small", 2);
    DomainPacking packing = packing(9.6, 7);
    // With two conversions: 9.6 / 8 = 1.2 and 7 / 8; with a third: 9.6 / 9 and 7 / 6 = 1.17.
    assertThat(ConversionGain.usefulCount(packing, before, closed, after, 10, 2.5, 6), is(2));
    assertThat(ConversionGain.usefulCount(packing, before, closed, after, 10, 2.5, 1), is(1));
    assertThat(ConversionGain.usefulCount(packing, before, closed, after, 4, 2.5, 6), is(0));
  }

  @Test
  void modelKeepsWhatItNeededShortlyBefore() {
    Map<String, Integer> after = Map.of("large", 5, "small", 6);
    Map<String, Integer> closed = Map.of("small", 2);
    assertThat(
        ConversionGain.of(packing(6, 3, 3), BEFORE, closed, after, 10), is(greaterThan(2.5)));
    assertThat(ConversionGain.of(packing(6, 3, 10), BEFORE, closed, after, 10), is(lessThan(0.0)));
  }

  @Test
  void nothingIsGainedIfAllAreServed() {
    assertThat(gain(3.2, 4.8, 10), is(closeTo(0, 1e-9)));
  }

  @Test
  void fallingArrivalsShortenTheImbalance() {
    assertThat(ConversionGain.lastingSeconds(1.6, 0.1), is(10.0));
    assertThat(ConversionGain.lastingSeconds(1.6, 0.0), is(10.0));
    assertThat(ConversionGain.lastingSeconds(1.6, -0.25), is(closeTo(2, 1e-9)));
    assertThat(ConversionGain.lastingSeconds(1.6, -0.01), is(10.0));
    assertThat(ConversionGain.lastingSeconds(1.6, -0.1), is(greaterThan(4.9)));
  }

  @Test
  void unknownTrendShortensTheImbalance() {
    assertThat(ConversionGain.lastingSeconds(1.6, null), is(5.0));
  }
}
