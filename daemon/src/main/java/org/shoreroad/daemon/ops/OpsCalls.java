package org.shoreroad.daemon.ops;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.jboss.logging.Logger;
import org.shoreroad.Box;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.Verdict;
import org.shoreroad.config.AccountSpec;
import org.shoreroad.config.BoxLabels;
import org.shoreroad.config.ConfigChange;
import org.shoreroad.config.ConfigFile;
import org.shoreroad.config.ConfigYaml;
import org.shoreroad.daemon.control.ControlAppender;
import org.shoreroad.daemon.control.ControlLog;
import org.shoreroad.daemon.control.PlannerService;
import org.shoreroad.daemon.gateway.RequestTrace;
import org.shoreroad.daemon.member.ContactPolicy;
import org.shoreroad.daemon.member.MembershipService;
import org.shoreroad.daemon.member.MembershipView;
import org.shoreroad.daemon.owner.OwnerService;
import org.shoreroad.daemon.owner.OwnerSnapshot;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.placement.ListedBox;
import org.shoreroad.state.ClusterState;
import org.shoreroad.state.Generation;
import org.shoreroad.state.LogRecord;
import org.shoreroad.state.Node;
import org.shoreroad.state.Outcome;

/**
 * The calls of the operators' API of a process.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class OpsCalls {
  private static final Logger LOG = Logger.getLogger(OpsCalls.class);

  private final Settings settings;
  private final ControlLog control;
  private final ControlAppender appender;
  private final PlannerService planner;
  private final MembershipService members;
  private final ContactPolicy contact;
  private final OwnerService owner;
  private final RequestTrace trace;

  /** Creates the calls. */
  @Inject
  public OpsCalls(
      Settings settings,
      ControlLog control,
      ControlAppender appender,
      PlannerService planner,
      MembershipService members,
      ContactPolicy contact,
      OwnerService owner,
      RequestTrace trace) {
    this.settings = settings;
    this.control = control;
    this.appender = appender;
    this.planner = planner;
    this.members = members;
    this.contact = contact;
    this.owner = owner;
    this.trace = trace;
  }

  /**
   * Runs a call.
   *
   * @param method the HTTP method
   * @param call the call's name, followed by a slash and an argument for some calls
   * @param parameters the query parameters
   * @param body the body
   * @return the result, to be encoded as JSON
   * @throws ShoreroadException if the call is unknown or rejected
   */
  public Object call(String method, String call, Map<String, String> parameters, String body) {
    String[] parts = call.split("/", 2);
    String name = method + " " + parts[0];
    String argument = parts.length > 1 ? parts[1] : "";
    return switch (name) {
      case "GET status" -> status();
      case "GET replicas" -> replicas();
      case "GET boxes" -> boxes();
      case "GET accounts" -> accounts();
      case "GET config" -> config();
      case "POST config" -> apply(body, parameters.getOrDefault("operator", "unnamed"), false);
      case "POST diff" -> apply(body, "", true);
      case "POST drain" -> drain(argument, true);
      case "POST undrain" -> drain(argument, false);
      case "GET in-force" -> inForce(parseVersion(argument));
      case "GET explain" -> explain(argument);
      default -> throw ShoreroadException.notRun(ErrorCode.NOT_FOUND, "unknown call: " + name);
    };
  }

  private Map<String, Object> status() {
    ClusterState state = control.state();
    MembershipView view = members.view();
    long now = System.nanoTime();
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("node", settings.nodeId());
    answer.put("zone", settings.zone());
    answer.put("applied_offset", state.appliedOffset());
    answer.put("config_version", state.configVersion());
    answer.put("log_reachable", control.isReachable());
    answer.put("may_serve", contact.mayServe(now));
    answer.put("may_order", contact.mayOrder(now));
    answer.put("plans", planner.isPlanner());
    answer.put("replicas_owned", owner.snapshot().replicas().size());
    List<Object> nodes = new ArrayList<>();
    for (ClusterState.JoinedNode joined : state.nodes().values()) {
      Node node = joined.node();
      boolean isSelf = node.id().equals(settings.nodeId());
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("node", node.id());
      row.put("zone", node.availabilityZone());
      row.put("address", node.peerAddress());
      row.put("status", isSelf ? "SELF" : view.statusOf(node.id()).name());
      row.put(
          "applied_offset",
          isSelf ? state.appliedOffset() : view.appliedOffsetById().getOrDefault(node.id(), -1L));
      nodes.add(row);
    }
    answer.put("nodes", nodes);
    return answer;
  }

  private List<Object> replicas() {
    List<Object> rows = new ArrayList<>();
    Map<Long, OwnerSnapshot.ReplicaView> ownViewByGeneration = new LinkedHashMap<>();
    owner
        .snapshot()
        .replicas()
        .forEach(view -> ownViewByGeneration.put(view.generation().number(), view));
    for (Generation generation : control.state().generations().values()) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("generation", generation.number());
      row.put("model", generation.model());
      row.put("state", generation.isStanding() ? "standing" : "dissolved");
      row.put("reason", generation.dissolved() == null ? "" : generation.dissolved().name());
      row.put("boxes", generation.boxes().stream().map(Box::name).toList());
      row.put("held", generation.heldBoxes().stream().sorted().toList());
      row.put("owner", owner.owners().owner(generation.number()).map(Node::id).orElse("none"));
      OwnerSnapshot.ReplicaView view = ownViewByGeneration.get(generation.number());
      if (view != null) {
        row.put("serving", view.isServing());
        row.put("running", view.running());
        row.put("queued", view.queued());
        row.put("seen", view.boxes());
      }
      rows.add(row);
    }
    return rows;
  }

  private List<Object> boxes() {
    ClusterState state = control.state();
    List<Object> rows = new ArrayList<>();
    for (ListedBox listed : planner.listedBoxes()) {
      Box box = listed.box();
      BoxLabels labels = state.configuration().boxLabels(box.name());
      Long holder = state.holderOf(box.name());
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("box", box.name());
      row.put("address", box.address());
      row.put("fabric_domain", box.fabricDomain());
      row.put("zone", box.availabilityZone());
      row.put("listed", listed.isLeaving() ? "leaving" : "live");
      row.put("draining", labels.isDraining());
      row.put("labels", labels.labels());
      row.put("generation", holder == null ? "" : holder);
      rows.add(row);
    }
    return rows;
  }

  private List<Object> accounts() {
    List<Object> rows = new ArrayList<>();
    for (AccountSpec account : control.state().configuration().all(AccountSpec.class)) {
      Map<String, Object> row = new LinkedHashMap<>();
      row.put("account", account.name());
      row.put("weight", account.weight());
      row.put("max_open", account.maxOpen());
      rows.add(row);
    }
    return rows;
  }

  private Map<String, Object> config() {
    ClusterState state = control.state();
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("base_version", state.configVersion());
    answer.put("entries", new java.util.TreeMap<>(state.configuration().entries()));
    answer.put("yaml", ConfigYaml.toYaml(state.configuration(), state.configVersion()));
    return answer;
  }

  private Map<String, Object> apply(String text, String operator, boolean isDryRun) {
    ConfigFile file = ConfigFile.parse(text);
    if (!file.isValid()) {
      throw ShoreroadException.notRun(
          ErrorCode.CONFIGURATION_INVALID,
          String.join("; ", file.faults().stream().map(Object::toString).toList()));
    }
    ClusterState state = control.state();
    if (file.baseVersion() == ConfigFile.NO_BASE) {
      throw ShoreroadException.notRun(
          ErrorCode.CONFIGURATION_INVALID,
          "the file has no base_version; the current one is " + state.configVersion());
    }
    ConfigChange change = ConfigChange.between(state.configuration(), file.configuration());
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("changed", change.upserts().stream().map(e -> e.key()).toList());
    answer.put("removed", change.removals());
    if (change.isEmpty() || isDryRun) {
      answer.put("version", state.configVersion());
      return answer;
    }
    Outcome outcome = append(change, file.baseVersion(), operator);
    answer.put("version", outcome.offset());
    return answer;
  }

  private Outcome append(ConfigChange change, long baseVersion, String operator) {
    Outcome outcome =
        appender
            .append(new LogRecord.ConfigChanged(appender.newId(), baseVersion, operator, change))
            .join();
    if (outcome.isAccepted()) {
      LOG.infof(
          "SR-0401 applied configuration %d by operator %s: %d entries",
          outcome.offset(), operator, change.keys().size());
      return outcome;
    }
    ErrorCode code =
        outcome.kind() == Outcome.Kind.STALE_BASE
            ? ErrorCode.CONFIGURATION_CONFLICT
            : ErrorCode.CONFIGURATION_INVALID;
    throw ShoreroadException.of(code, Verdict.NOT_RUN, outcome.message(), 0);
  }

  private Map<String, Object> drain(String box, boolean isDraining) {
    ClusterState state = control.state();
    boolean isKnown =
        planner.listedBoxes().stream().anyMatch(listed -> listed.box().name().equals(box));
    if (!isKnown) {
      throw ShoreroadException.notRun(ErrorCode.NOT_FOUND, "no box " + box + " is listed");
    }
    BoxLabels labels = state.configuration().boxLabels(box).withDraining(isDraining);
    ConfigChange change = new ConfigChange(List.of(labels), List.of());
    Outcome outcome = append(change, state.configVersion(), "drain");
    return Map.of("box", box, "draining", isDraining, "version", outcome.offset());
  }

  private static long parseVersion(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw ShoreroadException.notRun(
          ErrorCode.BAD_REQUEST, "the version is not a whole number: " + text);
    }
  }

  /** Returns the working processes that have not yet applied a version. */
  private Map<String, Object> inForce(long version) {
    members.pingAll();
    MembershipView view = members.view();
    List<String> behind = new ArrayList<>();
    for (Node node : view.workingNodes()) {
      long applied =
          node.id().equals(settings.nodeId())
              ? control.state().appliedOffset()
              : view.appliedOffsetById().getOrDefault(node.id(), -1L);
      if (applied < version) {
        behind.add(node.id());
      }
    }
    return Map.of("version", version, "in_force", behind.isEmpty(), "behind", behind);
  }

  private Map<String, Object> explain(String requestId) {
    List<RequestTrace.Step> steps =
        trace
            .find(requestId)
            .orElseThrow(
                () ->
                    ShoreroadException.notRun(
                        ErrorCode.NOT_FOUND,
                        "this process has no trace of request "
                            + requestId
                            + "; try the other processes"));
    long firstNanos = steps.get(0).atNanos();
    List<Object> rows = new ArrayList<>();
    for (RequestTrace.Step step : steps) {
      rows.add(
          Map.of(
              "after_ms",
              TimeUnit.NANOSECONDS.toMillis(step.atNanos() - firstNanos),
              "what",
              step.what()));
    }
    return Map.of("request_id", requestId, "steps", rows);
  }
}
