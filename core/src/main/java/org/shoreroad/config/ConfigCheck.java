package org.shoreroad.config;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The rules that a configuration as a whole must keep.
 *
 * <p>The file parser and the log's state machine call the same rules, so that two changes that are
 * each right but wrong together are refused by every process alike. All methods are pure.
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
   * A rule that an entry breaks.
   *
   * @param key the entry's key
   * @param message what is wrong
   * @param hint what to write instead
   */
  public record Finding(String key, String message, String hint) {}

  /**
   * Returns everything that is wrong with the configuration.
   *
   * @param configuration the configuration, not null
   * @return the findings, empty if it is right
   */
  public static List<Finding> findAll(Configuration configuration) {
    List<Finding> findings = new ArrayList<>();
    for (ConfigEntry entry : configuration.entries().values()) {
      findings.addAll(findIn(entry, configuration));
    }
    return findings;
  }

  /**
   * Returns everything that a change makes wrong, given that the configuration was right before.
   *
   * <p>Only routes point to other entries, so the touched entries and all routes are looked at; the
   * cost does not grow with the number of boxes.
   *
   * @param change the change, not null
   * @param after the configuration with the change made, not null
   * @return the findings, empty if it is right
   */
  public static List<Finding> findByChange(ConfigChange change, Configuration after) {
    List<Finding> findings = new ArrayList<>();
    change.upserts().forEach(entry -> findings.addAll(findIn(entry, after)));
    if (change.keys().stream().anyMatch(ConfigCheck::isPointedTo)) {
      after.all(RouteSpec.class).forEach(route -> findings.addAll(findIn(route, after)));
    }
    return findings;
  }

  private static boolean isPointedTo(String key) {
    return !key.startsWith("box/") && !key.equals(PolicySpec.KEY);
  }

  private static List<Finding> findIn(ConfigEntry entry, Configuration all) {
    Findings found = new Findings(entry.key());
    if (entry instanceof ModelSpec model) {
      checkModel(model, found);
    } else if (entry instanceof AccountSpec account) {
      checkAccount(account, found);
    } else if (entry instanceof KindSpec kind) {
      checkKind(kind, found);
    } else if (entry instanceof RouteSpec route) {
      checkRoute(route, all, found);
    } else if (entry instanceof ServiceSpec service) {
      checkService(service, found);
    } else if (entry instanceof BoxLabels labels) {
      found.expect(!labels.box().isBlank(), "a box needs a name", "write name: box-1");
    } else if (entry instanceof PolicySpec policy) {
      found.range(policy.downtimeWeightPercent(), 0, 100, "downtime_weight_percent");
    }
    return found.list;
  }

  private static void checkModel(ModelSpec model, Findings found) {
    found.name(model.name());
    found.name(model.version());
    found.range(model.boxesPerReplica(), 1, MAX_BOXES_PER_REPLICA, "boxes_per_replica");
    found.range(model.replicas(), 0, Integer.MAX_VALUE, "replicas");
    found.range(model.maxRunning(), 1, Integer.MAX_VALUE, "max_running");
    found.range(model.maxQueued(), 0, Integer.MAX_VALUE, "max_queued");
  }

  private static void checkAccount(AccountSpec account, Findings found) {
    found.name(account.name());
    found.expect(
        SHA256.matcher(account.keySha256()).matches(),
        "key_sha256 of account '" + account.name() + "' is not a SHA-256",
        "64 lower-case hexadecimal digits, from: printf %s KEY | sha256sum");
    found.range(account.weight(), 1, Integer.MAX_VALUE, "weight");
    found.range(account.maxOpen(), 1, Integer.MAX_VALUE, "max_open");
  }

  private static void checkKind(KindSpec kind, Findings found) {
    found.name(kind.name());
    found.range(kind.priority(), 0, MAX_PRIORITY, "priority");
    found.range(kind.costWeight(), 1, Integer.MAX_VALUE, "cost_weight");
    found.range(kind.deadlineMs(), 1, Integer.MAX_VALUE, "deadline_ms");
  }

  private static void checkRoute(RouteSpec route, Configuration all, Findings found) {
    found.name(route.name());
    String route1 = "route '" + route.name() + "' names ";
    for (String account : route.accounts()) {
      found.expect(
          account.equals(RouteSpec.ANY) || all.account(account).isPresent(),
          route1 + "the unknown account '" + account + "'",
          "declare it under accounts");
    }
    for (String kind : route.kinds()) {
      found.expect(
          kind.equals(RouteSpec.ANY) || all.kind(kind).isPresent(),
          route1 + "the unknown kind '" + kind + "'",
          "declare it under kinds");
    }
    boolean isTarget =
        route.target().matches("(model|service)/.+") && all.entries().containsKey(route.target());
    found.expect(
        isTarget,
        route1 + "the unknown target '" + route.target() + "'",
        "write model/NAME or service/NAME");
  }

  private static void checkService(ServiceSpec service, Findings found) {
    found.name(service.name());
    found.range(service.maxRunning(), 1, Integer.MAX_VALUE, "max_running");
    found.expect(!service.addresses().isEmpty(), "a service needs addresses", "host:port");
    for (String address : service.addresses()) {
      found.expect(
          ADDRESS.matcher(address).matches(),
          "'" + address + "' is not an address",
          "write host:port");
    }
  }

  /** Gathers findings about one entry. */
  private static final class Findings {
    private final String key;
    private final List<Finding> list = new ArrayList<>();

    Findings(String key) {
      this.key = key;
    }

    void expect(boolean isRight, String message, String hint) {
      if (!isRight) {
        list.add(new Finding(key, message, hint));
      }
    }

    void name(String name) {
      expect(
          NAME.matcher(name).matches(),
          "'" + name + "' is not a name",
          "letters, digits, dot, dash and underscore, at most 63");
    }

    void range(long value, long min, long max, String field) {
      expect(
          value >= min && value <= max,
          field + " is " + value,
          "write a number from " + min + " to " + max);
    }
  }
}
