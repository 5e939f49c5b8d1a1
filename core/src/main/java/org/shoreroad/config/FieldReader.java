package org.shoreroad.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/**
 * Reads typed fields from one YAML mapping and records each fault with its line.
 *
 * <p>For a faulty field the methods return a placeholder, so that reading continues and finds all
 * faults. Not thread-safe.
 */
final class FieldReader {
  private final Node node;
  private final List<ConfigFault> faults;
  private final Map<String, Node> fields = new LinkedHashMap<>();
  private final List<String> readNames = new ArrayList<>();

  FieldReader(Node node, List<ConfigFault> faults) {
    this.node = node;
    this.faults = faults;
    if (node instanceof MappingNode mapping) {
      for (NodeTuple tuple : mapping.getValue()) {
        fields.put(((ScalarNode) tuple.getKeyNode()).getValue(), tuple.getValueNode());
      }
    } else {
      addFault(node, "a mapping is expected", "write field: value");
    }
  }

  /** Records a fault for each field that was never read and returns the entry. */
  <T> T finish(T entry) {
    fields.forEach(
        (name, value) -> {
          if (!readNames.contains(name)) {
            addFault(
                value, "unknown field '" + name + "'", "one of " + String.join(", ", readNames));
          }
        });
    return entry;
  }

  String text(String name) {
    Node value = readField(name);
    if (value == null) {
      addFault(node, "the field '" + name + "' is missing", "");
      return "missing";
    }
    return scalar(value, name);
  }

  String textOr(String name, String defaultValue) {
    Node value = readField(name);
    return value == null ? defaultValue : scalar(value, name);
  }

  int integer(String name, int defaultValue) {
    Node value = readField(name);
    if (value == null) {
      return defaultValue;
    }
    try {
      return Integer.parseInt(scalar(value, name));
    } catch (NumberFormatException e) {
      addFault(value, name + " is not a whole number", "for example " + defaultValue);
      return defaultValue;
    }
  }

  boolean bool(String name, boolean defaultValue) {
    Node value = readField(name);
    if (value == null) {
      return defaultValue;
    }
    String text = scalar(value, name);
    if (!text.equals("true") && !text.equals("false")) {
      addFault(value, name + " is neither true nor false", "for example " + defaultValue);
    }
    return text.equals("true");
  }

  List<String> textList(String name) {
    Node value = readField(name);
    if (value instanceof SequenceNode list) {
      return list.getValue().stream().map(item -> scalar(item, name)).toList();
    }
    addFault(value == null ? node : value, name + " must be a list", "write [a, b]");
    return List.of();
  }

  Map<String, String> textMap(String name) {
    Node value = readField(name);
    Map<String, String> result = new LinkedHashMap<>();
    if (value instanceof MappingNode mapping) {
      for (NodeTuple tuple : mapping.getValue()) {
        result.put(scalar(tuple.getKeyNode(), name), scalar(tuple.getValueNode(), name));
      }
    } else if (value != null) {
      addFault(value, name + " must be a mapping", "write {label: value}");
    }
    return result;
  }

  private @Nullable Node readField(String name) {
    readNames.add(name);
    return fields.get(name);
  }

  private String scalar(Node value, String name) {
    if (value instanceof ScalarNode scalar) {
      return scalar.getValue();
    }
    addFault(value, name + " must be a single value", "");
    return "missing";
  }

  private void addFault(Node faulty, String message, String hint) {
    faults.add(new ConfigFault(ConfigFile.lineOf(faulty), message, hint));
  }
}
