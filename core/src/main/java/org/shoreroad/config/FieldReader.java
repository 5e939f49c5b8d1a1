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
 * Takes typed fields out of one YAML mapping and notes each fault with its line.
 *
 * <p>A faulty field yields a stand-in value, so that the reading goes on and finds the rest. Not
 * thread-safe.
 */
final class FieldReader {
  private final Node node;
  private final List<ConfigFault> faults;
  private final Map<String, Node> fields = new LinkedHashMap<>();
  private final List<String> asked = new ArrayList<>();

  FieldReader(Node node, List<ConfigFault> faults) {
    this.node = node;
    this.faults = faults;
    if (node instanceof MappingNode mapping) {
      for (NodeTuple tuple : mapping.getValue()) {
        fields.put(((ScalarNode) tuple.getKeyNode()).getValue(), tuple.getValueNode());
      }
    } else {
      fault(node, "a mapping is expected", "write field: value");
    }
  }

  /** Notes the fields that nobody asked for and returns the entry. */
  <T> T finish(T entry) {
    fields.forEach(
        (name, value) -> {
          if (!asked.contains(name)) {
            fault(value, "unknown field '" + name + "'", "one of " + String.join(", ", asked));
          }
        });
    return entry;
  }

  String text(String name) {
    Node value = take(name);
    if (value == null) {
      fault(node, "the field '" + name + "' is missing", "");
      return "missing";
    }
    return scalar(value, name);
  }

  String textOr(String name, String standard) {
    Node value = take(name);
    return value == null ? standard : scalar(value, name);
  }

  int integer(String name, int standard) {
    Node value = take(name);
    if (value == null) {
      return standard;
    }
    try {
      return Integer.parseInt(scalar(value, name));
    } catch (NumberFormatException e) {
      fault(value, name + " is no whole number", "for example " + standard);
      return standard;
    }
  }

  boolean bool(String name, boolean standard) {
    Node value = take(name);
    if (value == null) {
      return standard;
    }
    String text = scalar(value, name);
    if (!text.equals("true") && !text.equals("false")) {
      fault(value, name + " is neither true nor false", "for example " + standard);
    }
    return text.equals("true");
  }

  List<String> textList(String name) {
    Node value = take(name);
    if (value instanceof SequenceNode list) {
      return list.getValue().stream().map(item -> scalar(item, name)).toList();
    }
    fault(value == null ? node : value, name + " must be a list", "write [a, b]");
    return List.of();
  }

  Map<String, String> textMap(String name) {
    Node value = take(name);
    Map<String, String> result = new LinkedHashMap<>();
    if (value instanceof MappingNode mapping) {
      for (NodeTuple tuple : mapping.getValue()) {
        result.put(scalar(tuple.getKeyNode(), name), scalar(tuple.getValueNode(), name));
      }
    } else if (value != null) {
      fault(value, name + " must be a mapping", "write {label: value}");
    }
    return result;
  }

  private @Nullable Node take(String name) {
    asked.add(name);
    return fields.get(name);
  }

  private String scalar(Node value, String name) {
    if (value instanceof ScalarNode scalar) {
      return scalar.getValue();
    }
    fault(value, name + " must be a single value", "");
    return "missing";
  }

  private void fault(Node place, String message, String hint) {
    faults.add(new ConfigFault(ConfigFile.lineOf(place), message, hint));
  }
}
