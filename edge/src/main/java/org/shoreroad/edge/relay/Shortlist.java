package org.shoreroad.edge.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;
import org.shoreroad.fleet.FleetBox;

/**
 * Which upstreams a process compares for one request.
 *
 * <p>What a process knows of the others' load is a fifth of a second old, so where many processes
 * compared all upstreams, all would choose the same one. Each draws a few by chance instead: as
 * many of its own availability zone as of all others. Few upstreams lie in one zone, so a process
 * comes back to each of them while the connection to it is still open, and what stays in the zone
 * costs nothing between zones. All methods are pure but for the random numbers, and thread-safe.
 */
final class Shortlist {
  /**
   * Up to this many processes each may compare all upstreams: what one does shows to the others
   * before many of them have chosen alike.
   */
  private static final int PROCESSES_THAT_COMPARE_ALL = 12;

  /** The fewest to draw on either side: already two, drawn by chance, keep the load even. */
  private static final int LEAST_DRAWN = 2;

  private Shortlist() {}

  /**
   * Returns the upstreams to compare.
   *
   * @param fit the upstreams that can take the request, not null
   * @param zone the availability zone of this process, not null
   * @param processCount how many processes choose beside each other, this one among them
   * @param random draws, not null
   * @return all of them where processes are few, else some of either side
   */
  static List<FleetBox> draw(
      Collection<FleetBox> fit, String zone, int processCount, RandomGenerator random) {
    List<FleetBox> near = new ArrayList<>();
    List<FleetBox> far = new ArrayList<>();
    for (FleetBox box : fit) {
      (box.zone().equals(zone) ? near : far).add(box);
    }
    int count = Math.max(LEAST_DRAWN, fit.size() * PROCESSES_THAT_COMPARE_ALL / processCount);
    shorten(near, count, random);
    shorten(far, count, random);
    near.addAll(far);
    return near;
  }

  private static void shorten(List<FleetBox> boxes, int count, RandomGenerator random) {
    while (boxes.size() > count) {
      int last = boxes.size() - 1;
      boxes.set(random.nextInt(boxes.size()), boxes.get(last));
      boxes.remove(last);
    }
  }
}
