package review;

/**
 * Case: the head of an open group is cut off from the store and from all machines, and not from the
 * members of its group. As long as it is open, no member may take a join of another group.
 */
public final class CutHead {
  private static final long CUT_MS = 8_800;
  private static final long PAUSE_MS = 8_000;

  private CutHead() {}

  public static void main(String[] arguments) throws Exception {
    ModelSite.main(arguments, CutHead::play);
  }

  private static void play(ModelSite site, boolean isTrouble) throws Exception {
    for (String domain : ModelSite.DOMAINS) {
      GroupRunner head = site.findHead(domain);
      site.note(head.id() + " is cut off from the store and all machines: " + isTrouble);
      head.cutFromStore(isTrouble);
      head.cutFromMachines(isTrouble);
      Thread.sleep(CUT_MS);
      head.cutFromStore(false);
      head.cutFromMachines(false);
      site.note("the cut ends");
      Thread.sleep(PAUSE_MS);
    }
  }
}
