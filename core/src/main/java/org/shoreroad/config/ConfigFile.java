package org.shoreroad.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/**
 * The result of parsing a configuration file: its entries, its base version and its faults.
 *
 * <p>The file is YAML with the sections {@code base_version}, {@code policy}, {@code models},
 * {@code accounts}, {@code kinds}, {@code routes}, {@code services} and {@code boxes}. All faults
 * are found in one pass, each with its line.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param baseVersion the configuration version that the file is based on, or {@link #NO_BASE}
 * @param configuration the entries
 * @param faults the faults, ordered by line; empty if the file is valid
 * @since 0.1
 */
public record ConfigFile(long baseVersion, Configuration configuration, List<ConfigFault> faults) {
  /** The base version of a file that declares none. */
  public static final long NO_BASE = -1;

  private static final int MAX_FILE_CHARS = 16 * 1024 * 1024;
  private static final List<String> SECTIONS =
      List.of(
          "base_version", "policy", "models", "accounts", "kinds", "routes", "services", "boxes");

  /** Copies the faults. */
  public ConfigFile {
    faults = List.copyOf(faults);
  }

  /** Returns true if the file has no fault. */
  public boolean isValid() {
    return faults.isEmpty();
  }

  /**
   * Parses the text of a file.
   *
   * @param text the text, not null
   * @return the parsed file, with all its faults
   */
  public static ConfigFile parse(String text) {
    LoaderOptions options = new LoaderOptions();
    options.setCodePointLimit(MAX_FILE_CHARS);
    options.setAllowDuplicateKeys(false);
    try {
      Node root = new Yaml(options).compose(new java.io.StringReader(text));
      return new Reader().read(root);
    } catch (MarkedYAMLException e) {
      int line = e.getProblemMark() == null ? 0 : e.getProblemMark().getLine() + 1;
      return failed(new ConfigFault(line, "not YAML: " + e.getProblem(), ""));
    } catch (YAMLException e) {
      return failed(new ConfigFault(0, "not YAML: " + e.getMessage(), ""));
    }
  }

  private static ConfigFile failed(ConfigFault fault) {
    return new ConfigFile(NO_BASE, Configuration.EMPTY, List.of(fault));
  }

  /** Reads the sections of one file and records the line of each entry for faults. */
  private static final class Reader {
    private final List<ConfigFault> faults = new ArrayList<>();
    private final Map<String, Integer> lineByKey = new HashMap<>();
    private Configuration configuration = Configuration.EMPTY;
    private long baseVersion = NO_BASE;

    ConfigFile read(@org.jspecify.annotations.Nullable Node root) {
      if (root instanceof MappingNode mapping) {
        mapping.getValue().forEach(this::readSection);
      } else {
        faults.add(new ConfigFault(1, "the file is empty or not a mapping", "write models: first"));
      }
      for (ConfigCheck.Finding finding : ConfigCheck.findAll(configuration)) {
        int line = lineByKey.getOrDefault(finding.key(), 0);
        faults.add(new ConfigFault(line, finding.message(), finding.hint()));
      }
      faults.sort(Comparator.comparingInt(ConfigFault::line));
      return new ConfigFile(baseVersion, configuration, faults);
    }

    private void readSection(NodeTuple section) {
      String name = ((ScalarNode) section.getKeyNode()).getValue();
      Node value = section.getValueNode();
      switch (name) {
        case "base_version" -> readBase(value);
        case "policy" -> add(readPolicy(fields(value)), value);
        case "models" -> readList(value, this::readModel);
        case "accounts" -> readList(value, this::readAccount);
        case "kinds" -> readList(value, this::readKind);
        case "routes" -> readList(value, this::readRoute);
        case "services" -> readList(value, this::readService);
        case "boxes" -> readList(value, this::readBox);
        default ->
            faults.add(
                new ConfigFault(
                    lineOf(section.getKeyNode()),
                    "unknown section '" + name + "'",
                    "one of " + String.join(", ", SECTIONS)));
      }
    }

    private void readBase(Node value) {
      try {
        baseVersion = Long.parseLong(((ScalarNode) value).getValue());
      } catch (ClassCastException | NumberFormatException e) {
        faults.add(new ConfigFault(lineOf(value), "base_version is not a number", "0 at first"));
      }
    }

    private void readList(Node value, java.util.function.Function<FieldReader, ConfigEntry> read) {
      if (!(value instanceof SequenceNode list)) {
        faults.add(new ConfigFault(lineOf(value), "a list is expected", "begin with '- name:'"));
        return;
      }
      for (Node item : list.getValue()) {
        add(read.apply(fields(item)), item);
      }
    }

    private void add(ConfigEntry entry, Node node) {
      if (lineByKey.containsKey(entry.key())) {
        faults.add(
            new ConfigFault(
                lineOf(node),
                entry.key() + " is declared twice",
                "first on line " + lineByKey.get(entry.key())));
      }
      lineByKey.putIfAbsent(entry.key(), lineOf(node));
      configuration = configuration.withEntry(entry);
    }

    private FieldReader fields(Node node) {
      return new FieldReader(node, faults);
    }

    private ConfigEntry readPolicy(FieldReader f) {
      return f.finish(new PolicySpec(f.integer("downtime_weight_percent", 50)));
    }

    private ConfigEntry readModel(FieldReader f) {
      return f.finish(
          new ModelSpec(
              f.text("name"),
              f.textOr("version", "1"),
              f.integer("boxes_per_replica", 1),
              f.integer("replicas", 1),
              f.bool("same_fabric_domain", true),
              f.textMap("box_selector"),
              f.integer("max_running", 16),
              f.integer("max_queued", 256)));
    }

    private ConfigEntry readAccount(FieldReader f) {
      return f.finish(
          new AccountSpec(
              f.text("name"),
              f.text("key_sha256"),
              f.integer("weight", 1),
              f.integer("max_open", 256)));
    }

    private ConfigEntry readKind(FieldReader f) {
      return f.finish(
          new KindSpec(
              f.text("name"),
              f.integer("priority", 5),
              f.bool("repeatable", true),
              f.integer("cost_weight", 1),
              f.integer("deadline_ms", 30_000)));
    }

    private ConfigEntry readRoute(FieldReader f) {
      return f.finish(
          new RouteSpec(
              f.text("name"), f.textList("accounts"), f.textList("kinds"), f.text("target")));
    }

    private ConfigEntry readService(FieldReader f) {
      return f.finish(
          new ServiceSpec(f.text("name"), f.textList("addresses"), f.integer("max_running", 32)));
    }

    private ConfigEntry readBox(FieldReader f) {
      return f.finish(
          new BoxLabels(f.text("name"), f.textMap("labels"), f.bool("draining", false)));
    }
  }

  static int lineOf(Node node) {
    return node.getStartMark().getLine() + 1;
  }
}
