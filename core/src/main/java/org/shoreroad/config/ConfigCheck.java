package org.shoreroad.config;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Validates a complete configuration.
 *
 * <p>The file parser and the log's state machine apply the same rules. Two changes that are each
 * valid but break a rule together are therefore refused by every process alike. All methods are
 * pure and thread-safe.
 *
 * @since 0.1
 */
public final class ConfigCheck {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
  private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern ADDRESS = Pattern.compile("[^\\s:/]+:[0-9]{1,5}");
  private static final int MAX_PRIORITY = 9;
  private static final int MAX_BOXES_PER_REPLICA = 64;

  private ConfigCheck() {}

  /**
   * A violation of a rule by an entry.
   *
   * @param key the entry's key
   * @param message the description of the violation
   * @param hint advice on how to correct it
   */
  public record Finding(String key, String message, String hint) {}

  /**
   * Checks all entries.
   *
   * @param configuration the configuration, not null
   * @return the findings, empty if the configuration is valid
   */
  public static List<Finding> findAll(Configuration configuration) {
    List<Finding> findings = new ArrayList<>();
    for (ConfigEntry entry : configuration.entries().values()) {
      findings.addAll(checkEntry(entry, configuration));
    }
    return findings;
  }

  /**
   * Checks the entries that a change can make invalid, given that the configuration was valid
   * before.
   *
   * <p>Only routes refer to other entries, so the changed entries and all routes are checked. The
   * cost does not grow with the number of boxes.
   *
   * @param change the change, not null
   * @param after the configuration with the change applied, not null
   * @return the findings, empty if the configuration is valid
   */
  public static List<Finding> findByChange(ConfigChange change, Configuration after) {
    List<Finding> findings = new ArrayList<>();
    change.upserts().forEach(entry -> findings.addAll(checkEntry(entry, after)));
    if (change.keys().stream().anyMatch(ConfigCheck::canAffectRoutes)) {
      after.all(RouteSpec.class).forEach(route -> findings.addAll(checkEntry(route, after)));
    }
    return findings;
  }

  private static boolean canAffectRoutes(String key) {
    return !key.startsWith("box/") && !key.equals(PolicySpec.KEY);
  }

  private static List<Finding> checkEntry(ConfigEntry entry, Configuration all) {
    Findings findings = new Findings(entry.key());
    if (entry instanceof ModelSpec model) {
      checkModel(model, findings);
    } else if (entry instanceof AccountSpec account) {
      checkAccount(account, findings);
    } else if (entry instanceof KindSpec kind) {
      checkKind(kind, findings);
    } else if (entry instanceof RouteSpec route) {
      checkRoute(route, all, findings);
    } else if (entry instanceof ServiceSpec service) {
      checkService(service, findings);
    } else if (entry instanceof BoxLabels labels) {
      findings.expect(!labels.box().isBlank(), "a box needs a name", "write name: box-1");
    } else if (entry instanceof PolicySpec policy) {
      findings.expectRange(policy.downtimeWeightPercent(), 0, 100, "downtime_weight_percent");
    }
    return findings.list;
  }

  private static void checkModel(ModelSpec model, Findings findings) {
    findings.expectName(model.name());
    findings.expectName(model.version());
    findings.expectRange(model.boxesPerReplica(), 1, MAX_BOXES_PER_REPLICA, "boxes_per_replica");
    findings.expectRange(model.replicas(), 0, Integer.MAX_VALUE, "replicas");
    findings.expectRange(model.maxRunning(), 1, Integer.MAX_VALUE, "max_running");
    findings.expectRange(model.maxQueued(), 0, Integer.MAX_VALUE, "max_queued");
  }

  private static void checkAccount(AccountSpec account, Findings findings) {
    findings.expectName(account.name());
    findings.expect(
        SHA256.matcher(account.keySha256()).matches(),
        "key_sha256 of account '" + account.name() + "' is not a SHA-256",
        "64 lower-case hexadecimal digits, from: printf %s KEY | sha256sum");
    findings.expectRange(account.weight(), 1, Integer.MAX_VALUE, "weight");
    findings.expectRange(account.maxOpen(), 1, Integer.MAX_VALUE, "max_open");
  }

  private static void checkKind(KindSpec kind, Findings findings) {
    findings.expectName(kind.name());
    findings.expectRange(kind.priority(), 0, MAX_PRIORITY, "priority");
    findings.expectRange(kind.costWeight(), 1, Integer.MAX_VALUE, "cost_weight");
    findings.expectRange(kind.deadlineMs(), 1, Integer.MAX_VALUE, "deadline_ms");
  }

  private static void checkRoute(RouteSpec route, Configuration all, Findings findings) {
    findings.expectName(route.name());
    String prefix = "route '" + route.name() + "' names ";
    for (String account : route.accounts()) {
      findings.expect(
          account.equals(RouteSpec.ANY) || all.account(account).isPresent(),
          prefix + "the unknown account '" + account + "'",
          "declare it under accounts");
    }
    for (String kind : route.kinds()) {
      findings.expect(
          kind.equals(RouteSpec.ANY) || all.kind(kind).isPresent(),
          prefix + "the unknown kind '" + kind + "'",
          "declare it under kinds");
    }
    boolean isKnownTarget =
        route.target().matches("(model|service)/.+") && all.entries().containsKey(route.target());
    findings.expect(
        isKnownTarget,
        prefix + "the unknown target '" + route.target() + "'",
        "write model/NAME or service/NAME");
  }

  private static void checkService(ServiceSpec service, Findings findings) {
    findings.expectName(service.name());
    findings.expectRange(service.maxRunning(), 1, Integer.MAX_VALUE, "max_running");
    findings.expect(!service.addresses().isEmpty(), "a service needs addresses", "host:port");
    for (String address : service.addresses()) {
      findings.expect(
          ADDRESS.matcher(address).matches(),
          "'" + address + "' is not an address",
          "write host:port");
    }
  }

  /** Collects the findings for one entry. */
  private static final class Findings {
    private final String key;
    private final List<Finding> list = new ArrayList<>();

    Findings(String key) {
      this.key = key;
    }

    void expect(boolean isValid, String message, String hint) {
      if (!isValid) {
        list.add(new Finding(key, message, hint));
      }
    }

    void expectName(String name) {
      expect(
          NAME.matcher(name).matches(),
          "'" + name + "' is not a name",
          "letters, digits, dot, dash and underscore, at most 63");
    }

    void expectRange(long value, long min, long max, String field) {
      expect(
          value >= min && value <= max,
          field + " is " + value,
          "write a number from " + min + " to " + max);
    }
  }
}
