package org.shoreroad.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Converts entries to and from JSON, the form in the log and in answers to operators.
 *
 * <p>All methods are thread-safe.
 *
 * @since 0.1
 */
public final class ConfigJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Map<String, Class<? extends ConfigEntry>> TYPE_BY_PREFIX =
      Map.of(
          "model", ModelSpec.class,
          "account", AccountSpec.class,
          "kind", KindSpec.class,
          "route", RouteSpec.class,
          "service", ServiceSpec.class,
          "box", BoxLabels.class,
          "policy", PolicySpec.class);

  private static final Map<Class<? extends ConfigEntry>, String> PREFIX_BY_TYPE =
      TYPE_BY_PREFIX.entrySet().stream()
          .collect(Collectors.toUnmodifiableMap(Map.Entry::getValue, Map.Entry::getKey));

  private ConfigJson() {}

  /** Returns the part of a type's keys before the slash. */
  static String prefix(Class<? extends ConfigEntry> type) {
    return PREFIX_BY_TYPE.getOrDefault(type, "");
  }

  /** Returns the JSON form of the entry. */
  public static String toJson(ConfigEntry entry) {
    try {
      return MAPPER.writeValueAsString(entry);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Parses the JSON form of an entry.
   *
   * @param key the entry's key, whose prefix determines the type
   * @param json the JSON form
   * @return the entry
   * @throws IllegalArgumentException if the text is not an entry of that type
   */
  public static ConfigEntry parse(String key, String json) {
    Class<? extends ConfigEntry> type = TYPE_BY_PREFIX.get(key.split("/", 2)[0]);
    if (type == null) {
      throw new IllegalArgumentException("unknown entry type: " + key);
    }
    try {
      return MAPPER.readValue(json, type);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("malformed entry: " + key, e);
    }
  }
}
