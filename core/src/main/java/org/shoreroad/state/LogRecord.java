package org.shoreroad.state;

import java.util.List;
import org.shoreroad.Box;
import org.shoreroad.config.ConfigChange;

/**
 * A record of the control stream.
 *
 * <p>Each record has a unique id. If the answer to an append is lost, the writer reads the stream
 * until it finds the id. A second copy of a record has no effect.
 *
 * <p>Implementations are immutable and thread-safe.
 *
 * @since 0.1
 */
public sealed interface LogRecord {
  /** Returns the unique id of the record. */
  String id();

  /**
   * A change of the configuration by an operator.
   *
   * @param id the record's id
   * @param baseVersion the configuration version that the change is based on
   * @param operator the name of the operator
   * @param change the entries to change
   */
  record ConfigChanged(String id, long baseVersion, String operator, ConfigChange change)
      implements LogRecord {}

  /**
   * The forming of a replica; the record's offset becomes the generation's number.
   *
   * @param id the record's id
   * @param model the model to load
   * @param boxes the boxes; requests are sent to the first one
   */
  record ReplicaFormed(String id, String model, List<Box> boxes) implements LogRecord {
    /** Copies the boxes. */
    public ReplicaFormed {
      boxes = List.copyOf(boxes);
    }
  }

  /**
   * The dissolving of a generation, which holds each box until the box is released.
   *
   * @param id the record's id
   * @param generation the generation's number
   * @param reason the reason for dissolving it
   */
  record ReplicaDissolved(String id, long generation, DissolveReason reason) implements LogRecord {}

  /**
   * The release of a box of a dissolved generation, after the box reported no load of the
   * generation.
   *
   * @param id the record's id
   * @param generation the generation's number
   * @param box the box's name
   */
  record BoxReleased(String id, long generation, String box) implements LogRecord {}

  /**
   * The joining of a process.
   *
   * @param id the record's id
   * @param node the process
   */
  record NodeJoined(String id, Node node) implements LogRecord {}

  /**
   * The removal of a process that left or was found dead.
   *
   * @param id the record's id
   * @param nodeId the id of the process
   * @param joinedAt the offset of the {@link NodeJoined} record that this one ends
   */
  record NodeLeft(String id, String nodeId, long joinedAt) implements LogRecord {}
}
