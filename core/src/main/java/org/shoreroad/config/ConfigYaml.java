package org.shoreroad.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.Yaml;

/**
 * Writes a configuration as a YAML file, so that an operator can edit and apply it.
 *
 * <p>All methods are thread-safe.
 *
 * @since 0.1
 */
public final class ConfigYaml {
  private ConfigYaml() {}

  /**
   * Returns the file's text, from which {@link ConfigFile#parse} reads an equal configuration.
   *
   * @param configuration the configuration, not null
   * @param baseVersion the version of the configuration
   */
  public static String toYaml(Configuration configuration, long baseVersion) {
    Map<String, Object> root = new LinkedHashMap<>();
    root.put("base_version", baseVersion);
    if (configuration.entries().containsKey(PolicySpec.KEY)) {
      root.put(
          "policy",
          Map.of("downtime_weight_percent", configuration.policy().downtimeWeightPercent()));
    }
    put(root, "models", configuration.all(ModelSpec.class), ConfigYaml::model);
    put(root, "accounts", configuration.all(AccountSpec.class), ConfigYaml::account);
    put(root, "kinds", configuration.all(KindSpec.class), ConfigYaml::kind);
    put(root, "routes", configuration.all(RouteSpec.class), ConfigYaml::route);
    put(root, "services", configuration.all(ServiceSpec.class), ConfigYaml::service);
    put(root, "boxes", configuration.all(BoxLabels.class), ConfigYaml::box);
    DumperOptions options = new DumperOptions();
    options.setDefaultFlowStyle(DumperOptions.FlowStyle.BLOCK);
    return new Yaml(options).dump(root);
  }

  private static <T> void put(
      Map<String, Object> root, String section, List<T> entries, Function<T, Object> write) {
    if (!entries.isEmpty()) {
      root.put(section, new ArrayList<>(entries.stream().map(write).toList()));
    }
  }

  private static Object model(ModelSpec model) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("name", model.name());
    fields.put("version", model.version());
    fields.put("boxes_per_replica", model.boxesPerReplica());
    fields.put("replicas", model.replicas());
    fields.put("same_fabric_domain", model.sameFabricDomain());
    fields.put("box_selector", new java.util.TreeMap<>(model.boxSelector()));
    fields.put("max_running", model.maxRunning());
    fields.put("max_queued", model.maxQueued());
    return fields;
  }

  private static Object account(AccountSpec account) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("name", account.name());
    fields.put("key_sha256", account.keySha256());
    fields.put("weight", account.weight());
    fields.put("max_open", account.maxOpen());
    return fields;
  }

  private static Object kind(KindSpec kind) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("name", kind.name());
    fields.put("priority", kind.priority());
    fields.put("repeatable", kind.isRepeatable());
    fields.put("cost_weight", kind.costWeight());
    fields.put("deadline_ms", kind.deadlineMs());
    return fields;
  }

  private static Object route(RouteSpec route) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("name", route.name());
    fields.put("accounts", route.accounts());
    fields.put("kinds", route.kinds());
    fields.put("target", route.target());
    return fields;
  }

  private static Object service(ServiceSpec service) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("name", service.name());
    fields.put("addresses", service.addresses());
    fields.put("max_running", service.maxRunning());
    return fields;
  }

  private static Object box(BoxLabels box) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("name", box.box());
    fields.put("labels", new java.util.TreeMap<>(box.labels()));
    fields.put("draining", box.isDraining());
    return fields;
  }
}
