package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The model runners of one fabric domain and the groups that they form, as PROTOCOL.md tells them.
 * Checks the rule TWO at each join. Guarded by its own lock.
 */
final class Fabric {
  static final long STALL_MS = 5_000;

  private final Map<String, GroupRunner> runners = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final Consumer<String> notes;

  Fabric(Consumer<String> notes) {
    this.notes = notes;
  }

  /** State of a member in its group. */
  enum State {
    JOINING,
    READY,
    OPEN,
    CLOSING,
    BROKEN
  }

  /** The membership of a runner in a group. */
  static final class Membership {
    final String group;
    final long epoch;
    final List<String> members;
    final int rank;
    final String model;
    State state = State.JOINING;
    long standsSinceMs;

    Membership(String group, long epoch, List<String> members, int rank, String model) {
      this.group = group;
      this.epoch = epoch;
      this.members = members;
      this.rank = rank;
      this.model = model;
    }

    String key() {
      return group + "@" + epoch + members;
    }

    boolean isServing() {
      return state == State.OPEN || state == State.CLOSING;
    }
  }

  synchronized void add(GroupRunner runner) {
    runners.put(runner.id(), runner);
  }

  synchronized void remove(GroupRunner runner) {
    runners.remove(runner.id());
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  void note(String line) {
    notes.accept(line);
  }

  /** Called under the lock when a runner takes a join in place of another membership. */
  void checkTwo(GroupRunner runner, Membership former, Membership next) {
    GroupRunner head = runners.get(former.members.get(0));
    Membership ofHead = head == null ? null : head.membership();
    if (ofHead != null && ofHead.key().equals(former.key()) && ofHead.isServing()) {
      String line =
          "TWO: " + runner.id() + " takes a join of " + next.key() + " while " + head.id()
              + ", the head of its group " + former.key() + ", is " + ofHead.state + " with "
              + head.active() + " requests at work";
      violations.add(line);
      note(line);
    }
  }

  /** Returns true if every member of a group is a member still; called under the lock. */
  boolean isWhole(Membership membership) {
    for (String id : membership.members) {
      GroupRunner member = runners.get(id);
      Membership own = member == null ? null : member.membership();
      if (own == null || !own.key().equals(membership.key())) {
        return false;
      }
    }
    return true;
  }
}
