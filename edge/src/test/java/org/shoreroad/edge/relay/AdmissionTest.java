package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.traffic.CallerLimits;
import org.shoreroad.traffic.ClientAccount;
import org.shoreroad.traffic.RequestKind;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.ServiceShare;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

class AdmissionTest {
  private static final ClientAccount OFFICE =
      new ClientAccount("office", Set.of("secret"), ClientAccount.NO_PRIORITY);
  private static final UpstreamService WEB = new UpstreamService("web", 100, null);

  private final FakeConfigurationSource configurationSource =
      new FakeConfigurationSource(config(List.of(OFFICE)));

  private static Route route(String prefix, boolean allowsAnonymous) {
    return new Route(
        prefix,
        "h.example",
        prefix,
        RequestKind.REPEATABLE,
        2_000,
        200,
        100,
        1,
        List.of(new ServiceShare("web", 1)),
        2,
        allowsAnonymous,
        false);
  }

  private static TrafficConfig config(@Nullable List<ClientAccount> accounts) {
    return TrafficConfig.of(
        1,
        List.of(route("/known/", false), route("/open/", true)),
        List.of(WEB),
        accounts,
        CallerLimits.DEFAULT);
  }

  private Admission admit(String uri, String key) {
    return Admission.of(configurationSource, "h.example:80", uri, key, 0.5);
  }

  @Test
  void admitsAKnownKeyWithItsAccountAndService() {
    Admission admission = admit("/known/x", "secret");
    assertThat(admission.refusal(), is(nullValue()));
    assertThat(admission.account(), is(OFFICE));
    assertThat(admission.service(), is(WEB));
  }

  @Test
  void refusesARequestWithoutConfigurationOrRoute() {
    assertThat(
        Admission.of(new FakeConfigurationSource(null), "h.example", "/known/x", "secret", 0.5)
            .refusal(),
        is(Refusal.NO_CONFIGURATION));
    assertThat(admit("/nowhere", "secret").refusal(), is(Refusal.NO_ROUTE));
  }

  @Test
  void refusesAnUnknownKeyPermanentlyOnlyIfTheConfigurationIsProved() {
    assertThat(admit("/known/x", "other").refusal(), is(Refusal.UNKNOWN_KEY));
    configurationSource.isProved = false;
    assertThat(admit("/known/x", "other").refusal(), is(Refusal.KEYS_TOO_OLD));
  }

  @Test
  void refusesAKnownKeyTemporarilyWhileTheProofIsTooOld() {
    configurationSource.mayTrustKeys = false;
    assertThat(admit("/known/x", "secret").refusal(), is(Refusal.KEYS_TOO_OLD));
    assertThat(admit("/open/x", "secret").refusal(), is(Refusal.KEYS_TOO_OLD));
  }

  @Test
  void anonymousCallersNeedNoProof() {
    configurationSource.mayTrustKeys = false;
    configurationSource.isProved = false;
    Admission admission = admit("/open/x", "");
    assertThat(admission.refusal(), is(nullValue()));
    assertThat(admission.account(), is(nullValue()));
    assertThat(
        Admission.of(new FakeConfigurationSource(config(null)), "h.example", "/known/x", "", 0.5)
            .refusal(),
        is(nullValue()));
  }

  @Test
  void aRequestIsEitherAdmittedOrRefused() {
    assertThrows(IllegalArgumentException.class, () -> new Admission(null, null, null, null));
  }
}
