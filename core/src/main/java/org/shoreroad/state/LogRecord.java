package org.shoreroad.state;

import java.util.List;
import org.shoreroad.Box;
import org.shoreroad.config.ConfigChange;

/**
 * One record of the control stream.
 *
 * <p>Each record carries an id of its own. Where the answer to an append is lost, the writer reads
 * on until it meets the id; a second copy of a record applies to nothing.
 *
 * <p>Implementations are immutable and thread-safe.
 *
 * @since 0.1
 */
public sealed interface LogRecord {
  /** Returns the record's own id. */
  String id();

  /**
   * An operator's change of configuration.
   *
   * @param id the record's id
   * @param baseVersion the version the operator looked at
   * @param operator who changed it
   * @param change what is changed
   */
  record ConfigChanged(String id, long baseVersion, String operator, ConfigChange change)
      implements LogRecord {}

  /**
   * Boxes become a replica; the record's offset is the generation's number.
   *
   * @param id the record's id
   * @param model the model to load
   * @param boxes the boxes, the first of which takes the requests
   */
  record ReplicaFormed(String id, String model, List<Box> boxes) implements LogRecord {
    /** Copies the boxes. */
    public ReplicaFormed {
      boxes = List.copyOf(boxes);
    }
  }

  /**
   * A generation ends; its boxes stay bound to it until each is released.
   *
   * @param id the record's id
   * @param generation the generation's number
   * @param reason why
   */
  record ReplicaDissolved(String id, long generation, DissolveReason reason) implements LogRecord {}

  /**
   * A box of a dissolved generation was read back as holding nothing of it.
   *
   * @param id the record's id
   * @param generation the generation's number
   * @param box the box's name
   */
  record BoxReleased(String id, long generation, String box) implements LogRecord {}

  /**
   * A process of the system joins.
   *
   * @param id the record's id
   * @param node what joined
   */
  record NodeJoined(String id, Node node) implements LogRecord {}

  /**
   * A process of the system left or was found dead.
   *
   * @param id the record's id
   * @param nodeId which one
   * @param joinedAt the offset of the joining that this ends
   */
  record NodeLeft(String id, String nodeId, long joinedAt) implements LogRecord {}
}
