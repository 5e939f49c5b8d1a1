package org.shoreroad.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TrafficConfigTest {
  private static Route route(String name, String host, String prefix) {
    return new Route(
        name,
        host,
        prefix,
        RequestKind.ONCE,
        1_000,
        200,
        0,
        1,
        List.of(new ServiceShare("a", 90), new ServiceShare("b", 10)),
        1,
        false,
        false);
  }

  private final TrafficConfig config =
      TrafficConfig.of(
          7,
          List.of(
              route("short", "one.example", "/p/"),
              route("long", "one.example", "/p/q/"),
              route("other", "two.example", "/")),
          List.of(new UpstreamService("a", 10, null)),
          List.of(new ClientAccount("office", Set.of("key-1"), 2)),
          CallerLimits.DEFAULT);

  @Test
  void theLongestPrefixWins() {
    assertThat(config.findRoute("one.example", "/p/q/x").map(Route::name), is(Optional.of("long")));
    assertThat(
        config.findRoute("one.example", "/p/x?y").map(Route::name), is(Optional.of("short")));
  }

  @Test
  void theHostIsMatchedWithoutPortAndCase() {
    assertThat(config.findRoute("TWO.example:80", "/x").map(Route::name), is(Optional.of("other")));
  }

  @Test
  void noRouteMatchesAnotherHostOrPath() {
    assertThat(config.findRoute("three.example", "/p/q/"), is(Optional.empty()));
    assertThat(config.findRoute("one.example", "/other/"), is(Optional.empty()));
    assertThat(config.findRoute("one.example", "/p"), is(Optional.empty()));
  }

  @Test
  void accountsAreFoundByKeyAndOmitItFromTheirTextForm() {
    ClientAccount account = config.findAccount("key-1").orElseThrow();
    assertThat(account.name(), is("office"));
    assertThat(account.toString(), not(containsString("key-1")));
    assertThat(config.findAccount("key-2"), is(Optional.empty()));
  }

  @Test
  void servicesAreChosenByWeight() {
    Route split = route("r", "h", "/");
    assertThat(split.chooseService(0), is("a"));
    assertThat(split.chooseService(0.899), is("a"));
    assertThat(split.chooseService(0.901), is("b"));
    assertThat(split.chooseService(0.999), is("b"));
  }

  @Test
  void aRouteWithoutServiceOrTimeoutIsRejected() {
    assertThrows(
        IllegalArgumentException.class,
        () -> new Route("r", "h", "/", RequestKind.ONCE, 1, 1, 0, 0, List.of(), 1, false, false));
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new Route(
                "r",
                "h",
                "/",
                RequestKind.ONCE,
                0,
                1,
                0,
                0,
                List.of(new ServiceShare("a", 1)),
                1,
                false,
                false));
  }

  @Test
  void onlyResumableStreamsMayBeRepeated() {
    List<ServiceShare> shares = List.of(new ServiceShare("a", 1));
    Route stream =
        new Route("r", "h", "/", RequestKind.STREAM, 1, 1, 0, 0, shares, 2, false, false);
    Route resumable =
        new Route("r", "h", "/", RequestKind.STREAM, 1, 1, 0, 0, shares, 2, false, true);
    assertThat(stream.isRepeatable(), is(false));
    assertThat(resumable.isRepeatable(), is(true));
  }
}
