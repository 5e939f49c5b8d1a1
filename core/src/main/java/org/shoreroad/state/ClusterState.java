package org.shoreroad.state;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePMap;
import org.shoreroad.config.Configuration;

/**
 * The state after all records of the control stream up to one offset.
 *
 * <p>This class is immutable and thread-safe. Successive states share structure, so a record copies
 * only what it changes.
 *
 * @param appliedOffset the offset of the last applied record, or -1 for none
 * @param configVersion the offset of the last accepted configuration change, or 0 for none
 * @param configuration the entries that operators declared
 * @param changedAt the offset at which each configuration key was last changed or removed
 * @param generations the generations that still hold a box, by number
 * @param generationByBox the generation that holds each box, by box name
 * @param nodes the joined processes with the offset at which they joined, by id
 * @param outcomeById the outcomes of recent records, by record id
 * @param idByOffset the ids of the same records by offset, so that the oldest is removed first
 * @since 0.1
 */
public record ClusterState(
    long appliedOffset,
    long configVersion,
    Configuration configuration,
    PMap<String, Long> changedAt,
    TreePMap<Long, Generation> generations,
    PMap<String, Long> generationByBox,
    PMap<String, JoinedNode> nodes,
    PMap<String, Outcome> outcomeById,
    TreePMap<Long, String> idByOffset) {
  /** The state before any record. */
  public static final ClusterState EMPTY =
      new ClusterState(
          -1,
          0,
          Configuration.EMPTY,
          HashTreePMap.empty(),
          TreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          TreePMap.empty());

  /**
   * A process and the offset at which it joined.
   *
   * @param node the process
   * @param joinedAt the offset of its {@link LogRecord.NodeJoined} record
   */
  public record JoinedNode(Node node, long joinedAt) {}

  /** Returns the generation with this number, or empty if it holds no box any more. */
  public Optional<Generation> generation(long number) {
    return Optional.ofNullable(generations.get(number));
  }

  /** Returns the standing generations, by number. */
  public List<Generation> standingGenerations() {
    return generations.values().stream().filter(Generation::isStanding).toList();
  }

  /** Returns the standing generations of the model, by number. */
  public List<Generation> standingGenerations(String model) {
    return standingGenerations().stream().filter(g -> g.model().equals(model)).toList();
  }

  /** Returns the dissolved generations that still hold a box, by number. */
  public List<Generation> dissolvedGenerations() {
    return generations.values().stream().filter(g -> !g.isStanding()).toList();
  }

  /** Returns the number of the generation that holds the box, or null if it is free. */
  public @Nullable Long holderOf(String box) {
    return generationByBox.get(box);
  }

  /**
   * Returns the outcome of the record with this id, or empty if it isn't among the last {@link
   * StateMachine#RECENT_IDS} records.
   */
  public Optional<Outcome> outcomeOf(String id) {
    return Optional.ofNullable(outcomeById.get(id));
  }
}
