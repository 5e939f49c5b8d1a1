package org.shoreroad.state;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.shoreroad.Box;

/**
 * One formation of a replica on a fixed set of boxes.
 *
 * <p>A generation is <em>standing</em> from its {@link LogRecord.ReplicaFormed} record to its
 * {@link LogRecord.ReplicaDissolved} record. A dissolved generation is kept until its last box is
 * released. A change of boxes needs a new generation.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param number the offset of the record that formed it
 * @param model the name of the model it serves
 * @param boxes the boxes; requests are sent to the first one
 * @param dissolved the reason for dissolving it, or null while it is standing
 * @param fencingNumber the fencing number of orders for it: its number while it is standing, then
 *     the offset of the record that dissolved it, which is greater
 * @param heldBoxes the names of the boxes not yet released
 * @since 0.1
 */
public record Generation(
    long number,
    String model,
    List<Box> boxes,
    @Nullable DissolveReason dissolved,
    long fencingNumber,
    Set<String> heldBoxes) {
  /** Copies the collections. */
  public Generation {
    boxes = List.copyOf(boxes);
    heldBoxes = Set.copyOf(heldBoxes);
  }

  /** Returns a new generation that holds all its boxes. */
  public static Generation of(long number, String model, List<Box> boxes) {
    Set<String> names = boxes.stream().map(Box::name).collect(Collectors.toSet());
    return new Generation(number, model, boxes, null, number, names);
  }

  /** Returns true if the generation is not dissolved. */
  public boolean isStanding() {
    return dissolved == null;
  }

  /** Returns the box that requests are sent to. */
  public Box head() {
    return boxes.get(0);
  }

  /** Returns a copy that was dissolved for this reason by the record at this offset. */
  public Generation withDissolved(DissolveReason reason, long offset) {
    return new Generation(number, model, boxes, reason, offset, heldBoxes);
  }

  /** Returns a copy that no longer holds the box. */
  public Generation withoutHeldBox(String box) {
    Set<String> rest =
        heldBoxes.stream().filter(name -> !name.equals(box)).collect(Collectors.toSet());
    return new Generation(number, model, boxes, dissolved, fencingNumber, rest);
  }
}
