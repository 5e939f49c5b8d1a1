package review;

import java.util.ArrayList;
import java.util.List;

/**
 * A member of an open group is emptied and taken away while runners give some answers twice. No
 * runner may take a join of another group while the head of its group is closing.
 */
public final class ForeignReport {
  private static final int GARBLING = 8;
  private static final long GARBLE_MS = 5_000;
  private static final long DRAIN_AFTER_MS = 3_000;
  private static final long LEAVE_AFTER_MS = 5_000;
  private static final int STEPS = 6;

  private ForeignReport() {}

  public static void main(String[] arguments) throws Exception {
    ModelSite.main(arguments, ForeignReport::play);
  }

  private static void play(ModelSite site, boolean isTrouble) throws Exception {
    for (int step = 1; step <= STEPS; step++) {
      String domain = ModelSite.DOMAINS.get((step - 1) % ModelSite.DOMAINS.size());
      GroupRunner head = site.findHead(domain);
      GroupRunner leaving = site.lastMember(head);
      List<GroupRunner> garbling = garbling(site, head);
      garbling.forEach(runner -> runner.setGarbling(isTrouble));
      site.note(garbling.size() + " runners give some answers twice: " + isTrouble);
      Thread.sleep(DRAIN_AFTER_MS);
      site.note("step " + step + ": " + leaving.id() + " is emptied and taken away");
      leaving.drain();
      Thread.sleep(GARBLE_MS - DRAIN_AFTER_MS);
      garbling.forEach(runner -> runner.setGarbling(false));
      site.note("all answers are given once again");
      Thread.sleep(LEAVE_AFTER_MS);
      site.removeRunner(leaving);
      site.addRunner(domain);
    }
  }

  /** Returns half of the runners, with the head of the group that will lose a member. */
  private static List<GroupRunner> garbling(ModelSite site, GroupRunner head) {
    List<GroupRunner> chosen = new ArrayList<>(site.runners());
    chosen.remove(head);
    chosen.add(0, head);
    return List.copyOf(chosen.subList(0, GARBLING));
  }
}
