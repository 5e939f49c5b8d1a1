package org.shoreroad.state;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.pcollections.PMap;
import org.pcollections.TreePMap;
import org.shoreroad.Box;
import org.shoreroad.config.ConfigCheck;
import org.shoreroad.config.Configuration;
import org.shoreroad.config.ModelSpec;

/**
 * Applies the records of the control stream to a {@link ClusterState}.
 *
 * <p>Every process applies the same records, so the methods are pure and deterministic: they depend
 * on nothing but their arguments, neither on a clock nor on random numbers. A record that breaks a
 * rule or contradicts an earlier one changes only the applied offset and the outcomes of recent
 * records.
 *
 * <p>All methods are thread-safe.
 *
 * @since 0.1
 */
public final class StateMachine {
  /** The number of recent records whose ids are kept to detect repeated records. */
  public static final int RECENT_IDS = 4096;

  private StateMachine() {}

  /**
   * The state after a record, and the outcome of the record.
   *
   * @param state the state after the record
   * @param outcome the outcome of the record
   */
  public record Applied(ClusterState state, Outcome outcome) {}

  /**
   * Applies one record.
   *
   * @param state the state before the record, not null
   * @param offset the record's offset, greater than the state's
   * @param record the record, not null
   * @return the state after the record and its outcome
   * @throws IllegalArgumentException if the offset was applied already
   */
  public static Applied apply(ClusterState state, long offset, LogRecord record) {
    if (offset <= state.appliedOffset()) {
      throw new IllegalArgumentException(
          "offset " + offset + " was applied; the state is at " + state.appliedOffset());
    }
    // A second copy of a record has no effect.
    Optional<Outcome> earlier = state.outcomeOf(record.id());
    if (earlier.isPresent()) {
      Outcome repeated =
          new Outcome(offset, Outcome.Kind.REPEATED, "first at " + earlier.get().offset());
      return new Applied(new Draft(state).withOffset(offset).toState(), repeated);
    }
    Draft draft = new Draft(state).withOffset(offset);
    Outcome outcome = applyNew(draft, state, offset, record);
    ClusterState after = outcome.isAccepted() ? draft.toState() : state;
    return new Applied(recordOutcome(after, offset, record.id(), outcome), outcome);
  }

  /**
   * Skips a record that can't be decoded. Every process skips it, so their states stay equal.
   *
   * @param state the state before the record, not null
   * @param offset the record's offset
   * @return the state after the record
   */
  public static ClusterState skip(ClusterState state, long offset) {
    return new Draft(state).withOffset(offset).toState();
  }

  private static Outcome applyNew(Draft draft, ClusterState s, long offset, LogRecord record) {
    if (record instanceof LogRecord.ConfigChanged changed) {
      return applyConfig(draft, s, offset, changed);
    } else if (record instanceof LogRecord.ReplicaFormed formed) {
      return applyFormed(draft, s, offset, formed);
    } else if (record instanceof LogRecord.ReplicaDissolved dissolved) {
      return applyDissolved(draft, s, offset, dissolved);
    } else if (record instanceof LogRecord.BoxReleased released) {
      return applyReleased(draft, s, offset, released);
    } else if (record instanceof LogRecord.NodeJoined joined) {
      draft.nodes =
          s.nodes().plus(joined.node().id(), new ClusterState.JoinedNode(joined.node(), offset));
      return Outcome.accepted(offset);
    }
    return applyLeft(draft, s, offset, (LogRecord.NodeLeft) record);
  }

  private static Outcome applyConfig(
      Draft draft, ClusterState s, long offset, LogRecord.ConfigChanged changed) {
    // A change is rejected as a whole if one of its keys was changed after its base version.
    for (String key : changed.change().keys()) {
      long changedAt = s.changedAt().getOrDefault(key, 0L);
      if (changedAt > changed.baseVersion()) {
        return new Outcome(
            offset,
            Outcome.Kind.STALE_BASE,
            key + " was changed at version " + changedAt + ", after base " + changed.baseVersion());
      }
    }
    if (changed.baseVersion() > s.configVersion()) {
      return new Outcome(
          offset, Outcome.Kind.STALE_BASE, "no version " + changed.baseVersion() + " exists");
    }
    // Two changes that are each valid may break a rule together.
    Configuration after = changed.change().applyTo(s.configuration());
    List<ConfigCheck.Finding> findings = ConfigCheck.findByChange(changed.change(), after);
    if (!findings.isEmpty()) {
      return new Outcome(offset, Outcome.Kind.INVALID, findings.get(0).message());
    }
    draft.configuration = after;
    draft.configVersion = offset;
    for (String key : changed.change().keys()) {
      draft.changedAt = draft.changedAt.plus(key, offset);
    }
    return Outcome.accepted(offset);
  }

  private static Outcome applyFormed(
      Draft draft, ClusterState s, long offset, LogRecord.ReplicaFormed formed) {
    String fault = findFormingFault(s, formed);
    if (fault != null) {
      return new Outcome(offset, Outcome.Kind.CONFLICT, fault);
    }
    Generation generation = Generation.of(offset, formed.model(), formed.boxes());
    draft.generations = s.generations().plus(offset, generation);
    for (Box box : formed.boxes()) {
      draft.generationByBox = draft.generationByBox.plus(box.name(), offset);
    }
    return Outcome.accepted(offset);
  }

  private static @Nullable String findFormingFault(ClusterState s, LogRecord.ReplicaFormed formed) {
    ModelSpec model = s.configuration().model(formed.model()).orElse(null);
    if (model == null) {
      return "no model " + formed.model();
    }
    if (formed.boxes().size() != model.boxesPerReplica()) {
      return "a replica needs " + model.boxesPerReplica() + " boxes";
    }
    if (s.standingGenerations(formed.model()).size()
        >= s.configuration().maxStandingReplicas(model)) {
      return "all replicas of " + formed.model() + " stand";
    }
    Set<String> names = new HashSet<>();
    Set<String> domains = new HashSet<>();
    for (Box box : formed.boxes()) {
      Long holder = s.holderOf(box.name());
      if (holder != null) {
        return box.name() + " is held by generation " + holder;
      }
      var labels = s.configuration().boxLabels(box.name());
      if (!model.matchesLabels(labels.labels()) || labels.isDraining()) {
        return box.name() + " is not selected for " + formed.model();
      }
      names.add(box.name());
      domains.add(box.fabricDomain());
    }
    if (names.size() != formed.boxes().size()) {
      return "a box is named twice";
    }
    return model.sameFabricDomain() && domains.size() > 1 ? "several fabric domains" : null;
  }

  private static Outcome applyDissolved(
      Draft draft, ClusterState s, long offset, LogRecord.ReplicaDissolved dissolved) {
    Generation generation = s.generations().get(dissolved.generation());
    if (generation == null || !generation.isStanding()) {
      return new Outcome(offset, Outcome.Kind.CONFLICT, "the generation does not stand");
    }
    draft.generations =
        s.generations()
            .plus(generation.number(), generation.withDissolved(dissolved.reason(), offset));
    return Outcome.accepted(offset);
  }

  private static Outcome applyReleased(
      Draft draft, ClusterState s, long offset, LogRecord.BoxReleased released) {
    Generation generation = s.generations().get(released.generation());
    if (generation == null
        || generation.isStanding()
        || !generation.heldBoxes().contains(released.box())) {
      return new Outcome(offset, Outcome.Kind.CONFLICT, "the box is not held");
    }
    Generation after = generation.withoutHeldBox(released.box());
    draft.generations =
        after.heldBoxes().isEmpty()
            ? s.generations().minus(after.number())
            : s.generations().plus(after.number(), after);
    draft.generationByBox = s.generationByBox().minus(released.box());
    return Outcome.accepted(offset);
  }

  private static Outcome applyLeft(
      Draft draft, ClusterState s, long offset, LogRecord.NodeLeft left) {
    ClusterState.JoinedNode joined = s.nodes().get(left.nodeId());
    if (joined == null || joined.joinedAt() != left.joinedAt()) {
      return new Outcome(offset, Outcome.Kind.CONFLICT, "no such joining");
    }
    draft.nodes = s.nodes().minus(left.nodeId());
    return Outcome.accepted(offset);
  }

  private static ClusterState recordOutcome(
      ClusterState state, long offset, String id, Outcome outcome) {
    Draft draft = new Draft(state).withOffset(offset);
    draft.outcomeById = state.outcomeById().plus(id, outcome);
    draft.idByOffset = state.idByOffset().plus(offset, id);
    while (draft.idByOffset.size() > RECENT_IDS) {
      long oldest = draft.idByOffset.firstKey();
      draft.outcomeById =
          draft.outcomeById.minus(Objects.requireNonNull(draft.idByOffset.get(oldest)));
      draft.idByOffset = draft.idByOffset.minus(oldest);
    }
    return draft.toState();
  }

  /** A mutable copy of a state, changed while a record is applied. */
  private static final class Draft {
    private long appliedOffset;
    private long configVersion;
    private Configuration configuration;
    private PMap<String, Long> changedAt;
    private TreePMap<Long, Generation> generations;
    private PMap<String, Long> generationByBox;
    private PMap<String, ClusterState.JoinedNode> nodes;
    private PMap<String, Outcome> outcomeById;
    private TreePMap<Long, String> idByOffset;

    Draft(ClusterState s) {
      appliedOffset = s.appliedOffset();
      configVersion = s.configVersion();
      configuration = s.configuration();
      changedAt = s.changedAt();
      generations = s.generations();
      generationByBox = s.generationByBox();
      nodes = s.nodes();
      outcomeById = s.outcomeById();
      idByOffset = s.idByOffset();
    }

    Draft withOffset(long offset) {
      appliedOffset = offset;
      return this;
    }

    ClusterState toState() {
      return new ClusterState(
          appliedOffset,
          configVersion,
          configuration,
          changedAt,
          generations,
          generationByBox,
          nodes,
          outcomeById,
          idByOffset);
    }
  }
}
