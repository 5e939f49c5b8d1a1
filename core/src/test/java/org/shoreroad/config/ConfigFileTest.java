package org.shoreroad.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that every fault is reported with its line, and that a written configuration reads back.
 */
class ConfigFileTest {
  private static final Path EXAMPLES = Path.of("..", "examples");

  @ParameterizedTest
  @ValueSource(strings = {"sengupta.yaml", "return-assistant.yaml"})
  void testParse_examplesAreValidAndRoundTrip(String name) throws IOException {
    ConfigFile file = ConfigFile.parse(Files.readString(EXAMPLES.resolve(name)));
    assertThat(file.faults(), is(empty()));
    assertThat(file.baseVersion(), is(0L));
    ConfigFile again = ConfigFile.parse(ConfigYaml.toYaml(file.configuration(), 7));
    assertThat(again.configuration(), is(file.configuration()));
    assertThat(again.baseVersion(), is(7L));
    for (ConfigEntry entry : file.configuration().entries().values()) {
      assertThat(ConfigJson.parse(entry.key(), ConfigJson.toJson(entry)), is(entry));
    }
  }

  private static void expectFault(String text, int line, String message) {
    ConfigFile file = ConfigFile.parse(text);
    assertThat(file.isValid(), is(false));
    ConfigFault fault = file.faults().get(0);
    assertThat(fault.toString(), fault.line(), is(line));
    assertThat(fault.toString(), containsString(message));
  }

  @Test
  void testParse_faultsHaveTheirLine() {
    expectFault("kinds:\n  - name: k\n    priorty: 3\n", 3, "unknown field 'priorty'");
    expectFault("kinds:\n  - priority: 3\n", 2, "'name' is missing");
    expectFault("kinds:\n  - name: k\n    priority: high\n", 3, "not a whole number");
    expectFault("kinds:\n  - name: k\n    priority: 10\n", 2, "priority is 10");
    expectFault("kinds:\n  - name: k\n  - name: k\n", 3, "declared twice");
    expectFault("things: []\n", 1, "unknown section 'things'");
    expectFault("models: 7\n", 1, "a list is expected");
    expectFault("models:\n  - {name: m\n", 3, "not YAML");
    expectFault("", 1, "empty");
    expectFault(
        "routes:\n  - name: r\n    accounts: [a]\n    kinds: ['*']\n    target: model/m\n",
        2,
        "unknown account 'a'");
  }

  @Test
  void testParse_allFaultsAreFoundAtOnce() {
    ConfigFile file =
        ConfigFile.parse("kinds:\n  - name: k\n    priority: 10\n  - name: '!'\n    x: 1\n");
    assertThat(file.faults().size(), is(3));
  }
}
