package org.shoreroad.daemon.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Checks that errors name the invalid setting in one line, and that flags take precedence over
 * variables.
 */
class SettingsTest {
  private static final List<String> VALID_ARGS =
      List.of(
          "--zone",
          "z",
          "--caller-listen",
          "127.0.0.1:1",
          "--ops-listen",
          "127.0.0.1:2",
          "--peer-listen",
          "127.0.0.1:3",
          "--log-url",
          "http://l",
          "--boxes-url",
          "http://b",
          "--peer-token",
          "p",
          "--operator-token",
          "o");

  private static Settings parse(Map<String, String> environment, String... more) {
    List<String> args = new ArrayList<>(VALID_ARGS);
    args.addAll(List.of(more));
    return Settings.parse(args.toArray(String[]::new), environment);
  }

  private static void assertRejected(String name, String... more) {
    SettingsException e = assertThrows(SettingsException.class, () -> parse(Map.of(), more));
    assertThat(e.getMessage(), containsString(name));
    assertThat(e.getMessage().lines().count(), is(1L));
  }

  @Test
  void testParse_flagOverridesVariable() {
    Map<String, String> environment =
        Map.of("SHOREROAD_PROBE_MS", "300", "SHOREROAD_ORDER_MS", "700", "SHOREROAD_CTL_URL", "x");
    Settings settings = parse(environment, "--probe-ms", "400");
    assertThat(settings.probeMs(), is(400L));
    assertThat(settings.orderMs(), is(700L));
  }

  @Test
  void testParse_errorNamesSetting() {
    assertRejected("--nosuch", "--nosuch", "1");
    assertRejected("probe-ms", "--probe-ms", "many");
    assertRejected("probe-ms", "--probe-ms", "1");
    assertRejected("--evidence-ms", "--evidence-ms", "200");
    assertRejected("--quarantine-ms", "--quarantine-ms", "1000");
    assertRejected("--log-format", "--log-format", "xml");
    assertRejected("--node-id", "--node-id", "a b");
  }

  @Test
  void testParse_invalidAddressOrUrlIsRejected() {
    List<String> args = new ArrayList<>(VALID_ARGS);
    for (String invalid : List.of("127.0.0.1", "127.0.0.1:x", ":1", "127.0.0.1:99999")) {
      args.set(3, invalid);
      SettingsException e =
          assertThrows(
              SettingsException.class, () -> Settings.parse(args.toArray(String[]::new), Map.of()));
      assertThat(e.getMessage(), containsString("--caller-listen"));
    }
    args.set(3, "127.0.0.1:2");
    SettingsException same =
        assertThrows(
            SettingsException.class, () -> Settings.parse(args.toArray(String[]::new), Map.of()));
    assertThat(same.getMessage(), containsString("--ops-listen"));
    args.set(3, "127.0.0.1:1");
    args.set(9, "ftp://l");
    SettingsException url =
        assertThrows(
            SettingsException.class, () -> Settings.parse(args.toArray(String[]::new), Map.of()));
    assertThat(url.getMessage(), containsString("--log-url"));
  }

  @Test
  void testParse_missingFlagOrUnknownVariableIsRejected() {
    SettingsException missing =
        assertThrows(SettingsException.class, () -> Settings.parse(new String[0], Map.of()));
    assertThat(missing.getMessage(), containsString("--"));
    SettingsException unknown =
        assertThrows(SettingsException.class, () -> parse(Map.of("SHOREROAD_NOSUCH", "1")));
    assertThat(unknown.getMessage(), containsString("SHOREROAD_NOSUCH"));
  }

  @Test
  void testParse_acceptsVariablesOnly() {
    Map<String, String> environment = new HashMap<>();
    for (int i = 0; i < VALID_ARGS.size(); i += 2) {
      environment.put(Settings.toVariable(VALID_ARGS.get(i)), VALID_ARGS.get(i + 1));
    }
    assertThat(Settings.parse(new String[0], environment).zone(), is("z"));
  }

  @Test
  void testAllFlags_areDocumentedForOperators() throws IOException {
    String page = Files.readString(Path.of("..", "docs", "OPERATIONS.md"));
    for (String flag : Settings.allFlags()) {
      assertThat(page, containsString("`" + flag + "`"));
      assertThat(page, containsString("`" + Settings.toVariable(flag) + "`"));
    }
  }
}
