package org.shoreroad.state;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.shoreroad.Box;

/**
 * A replica's generation: fixed boxes under one number, from forming to the last box's release.
 *
 * <p>A change of boxes makes a new generation. This class is immutable and thread-safe.
 *
 * @param number the offset of the record that formed it
 * @param model the model it serves
 * @param boxes the boxes, the first of which takes the requests
 * @param dissolved why it ended, or null while it stands
 * @param fencingNumber what orders for it carry: its number, and once it is dissolved the offset of
 *     the dissolving, which is greater
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

  /** Returns true while the generation is not dissolved. */
  public boolean isStanding() {
    return dissolved == null;
  }

  /** Returns the box that takes the requests. */
  public Box head() {
    return boxes.get(0);
  }

  /** Returns a copy that has ended for the reason, by the record at this offset. */
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
